'use strict';
// Bad clients send requests with ids that nobody knows, again as soon as they are turned away. A call ends whose caller has
// closed the connection of its set-up and has another one open. Is the caller told?
const { run, CannotRun, SLACK_MS, sleep, newId } = require('../lib-2/harness');
const { encodeSip, PARAM, TYPE, causeOf, encodeMessage } = require('../lib-2/wire');

const LIMIT_MS = 1000 + SLACK_MS;

run(__dirname, async (test) => {
  await test.start();
  const [exchange] = test.exchanges;
  const first = await test.caller('a, first connection');
  const call = first.setUp(1);
  if (await first.answered(call) !== 200) throw new CannotRun('the call does not stand');
  await sleep(4000);
  first.close(); // A connection with no call on it is closed after 4 s; a standing call belongs to no connection.

  // The caller's next connection, with a set-up that is refused as all lines of the number are busy.
  await sleep(300);
  const second = await test.caller('a, second connection');
  test.exchanges[1].onSetUp = (link, message) => {
    link.send(encodeMessage(TYPE.RELEASE, message.call, [causeOf(17), [PARAM.NOTE, 'engaged']]));
    return true;
  };
  const status = await second.answered(second.setUp(2));
  test.record('case', `a set-up on the second connection was answered ${status}`);
  if (status === null || status === 200) throw new CannotRun('the set-up was not refused');

  let going = true;
  const bad = [];
  if (test.trouble) {
    const client = await test.caller('bad client');
    client.confirms = false; // It reads what is sent to it, and takes part in no call.
    bad.push(client);
    const send = () => {
      if (!going) return;
      client.write(encodeSip('BYE sip:peer@net SIP/2.0', [['Via', 'SIP/2.0/TCP peer'], ['Call-ID', newId()], ['CSeq', '2 BYE']]));
    };
    let answers = 0;
    client.onMessage = (message) => {
      if (message.status !== null) { answers += 1; if (answers <= 3) client.log(`turned away with ${message.status}`); setTimeout(send, 5); }
    };
    send();
  }
  await sleep(400);
  if (!exchange.endCall(call)) throw new CannotRun('the exchange does not hold the call');
  const ended = Date.now();
  await second.until(() => second.releases.has(call), 12_000);
  going = false;
  const told = second.releases.get(call);
  for (const client of bad) if (client.releases.has(call)) test.record('case', 'the release of the call came to the bad client');
  test.record('case', told ? `the caller was told ${told - ended} ms after the end` : 'the caller was not told within 12 s, on an open connection');
  return told !== undefined && told - ended <= LIMIT_MS;
});
