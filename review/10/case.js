'use strict';
// An exchange refuses a set-up, and the refusal arrives after the set-up's time: for 1.5 s nothing of the exchange gets
// through on that connection. The call is sent again on another connection and stands. Does it still stand for its caller
// once the late refusal has arrived?
const { run, CannotRun, sleep } = require('../lib-2/harness');
const { TYPE, PARAM, causeOf, encodeMessage } = require('../lib-2/wire');

const STALL_MS = 1500;

run(__dirname, async (test) => {
  await test.start();
  const [exchange] = test.exchanges;
  const caller = await test.caller('a');
  await sleep(300);
  exchange.onSetUp = (link, message) => {
    exchange.onSetUp = null;
    if (test.trouble) {
      const held = [];
      link.outgoing = (octets) => held.push(octets);
      test.record('network', `connection ${link.number}: what the exchange writes is on its way for up to ${STALL_MS} ms`);
      setTimeout(() => {
        link.outgoing = 'pass';
        test.record('network', `connection ${link.number}: ${held.length} messages of the exchange arrive late`);
        held.forEach((octets) => link.send(octets));
      }, STALL_MS);
    }
    test.record(`exchange ${exchange.uid}`, `${message.call} refused on connection ${link.number}: cause 34, congestion`);
    link.send(encodeMessage(TYPE.RELEASE, message.call, [causeOf(34), [PARAM.NOTE, 'congestion']]));
    return true;
  };
  const id = caller.setUp(1, { callType: 'ad-spot', expiresMs: 2400 });
  const status = await caller.answered(id);
  if (status !== 200) throw new CannotRun(`the call does not stand: ${status}`);
  const answeredAt = Date.now();
  await caller.until(() => caller.releases.has(id), 6000);
  const call = exchange.calls.get(id);
  const stands = call !== undefined && call.state === 'standing';
  const told = caller.releases.get(id);
  test.record('case', told ? `the caller was told that its call is over, ${told - answeredAt} ms after the answer` : 'the caller was told nothing within 6 s');
  test.record('case', `the exchange ${stands ? 'holds the call: it has released it for no one, and no release came' : 'does not hold the call'}`);
  if (!stands) throw new CannotRun('the exchange does not hold the call');
  if (told === undefined) return true;
  // Is the call at the exchange released at least within the 8 s that the rule allows?
  await sleep(8050);
  const left = exchange.calls.get(id);
  test.record('case', left ? 'the call is left standing at the exchange 8 s later' : 'the call was released at the exchange within 8 s');
  return left === undefined;
});
