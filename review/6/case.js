'use strict';
// An answer never arrives and its connection stays open, of no more use, while the exchange's other connections work. A call
// that was set up on that connection ends. Is its caller told within 8 s?
const { run, CannotRun, SLACK_MS, sleep } = require('../lib-2/harness');

const LIMIT_MS = 8000 + SLACK_MS;

run(__dirname, async (test) => {
  await test.start();
  const [exchange, other] = test.exchanges;
  const caller = await test.caller('a');

  /** Three set-ups at once: each goes on a connection of its own. Returns the link of each, in the order of arrival. */
  const burst = async () => {
    const links = new Map();
    exchange.onSetUp = (link, message) => { links.set(message.call, link); return false; };
    exchange.answerMs = 150;
    for (let count = 0; count < 3; count += 1) caller.setUp(1);
    for (let wait = 0; links.size < 3 && wait < 120; wait += 5) await sleep(5);
    if (new Set(links.values()).size < 3) throw new CannotRun('the set-ups went on fewer than three connections');
    return links;
  };
  const first = await burst();
  for (const id of first.keys()) if (await caller.answered(id) !== 200) throw new CannotRun('the first calls do not stand');
  // The call to look at: the one on the connection that is picked last.
  const [, , [call, link]] = [...first];
  test.record('case', `call ${call} stands; it was set up on connection ${link.number}`);
  for (const id of first.keys()) if (id !== call) caller.bye(id);
  await sleep(500);

  // Again three at once. The answer on that connection never arrives, and nothing else does on it.
  const second = await burst();
  if (![...second.values()].includes(link)) throw new CannotRun('no set-up went on the connection of the call');
  await sleep(30);
  if (test.trouble) {
    link.outgoing = 'lost';
    test.record('network', `from now on nothing of the exchange arrives on connection ${link.number}; it stays open`);
  }
  const statuses = [];
  for (const id of second.keys()) statuses.push(await caller.answered(id, 4000));
  test.record('case', `the three set-ups were answered ${statuses}`);
  exchange.onSetUp = null;
  exchange.answerMs = 15;

  // Usual traffic to that exchange and to another.
  let going = true;
  const traffic = (async () => {
    while (going) {
      const id = caller.setUp(1);
      const elsewhere = caller.setUp(2);
      await caller.answered(id);
      await caller.answered(elsewhere);
      await sleep(400);
      exchange.endCall(id);
      other.endCall(elsewhere);
      await sleep(400);
    }
  })();
  await sleep(2000);
  if (!exchange.endCall(call)) throw new CannotRun('the exchange does not hold the call');
  const ended = Date.now();
  await caller.until(() => caller.releases.has(call), LIMIT_MS + 12_000);
  going = false;
  await traffic;
  const told = caller.releases.get(call);
  test.record('case', told ? `the caller was told ${told - ended} ms after the end` : 'the caller was never told within 20 s');
  return told !== undefined && told - ended <= LIMIT_MS;
});
