'use strict';
// An exchange hangs for a second, then gives the answers that are due, all at once. Each call that the controller has
// taken must get its final answer.

const { Bus, Caller, Controller, Exchange, callId, freePort, runCase, sleep, target } = require('../lib/common.js');

const EXCHANGES = 5;
const CALLS_PER_S = 100;
/** Share of the calls that go to the exchange that hangs; the others get even parts of the rest. */
const SHARE = 0.6;
const ANSWER_MS = 200;
const DESCRIPTION_OCTETS = 12000;
const BEFORE_MS = 6000;
const HANG_MS = 1000;
const AFTER_MS = 2000;
const EXPIRES_MS = 3000;
/** A late answer only earns nothing up to half a second after the request's time; each time limit is 50 ms longer. */
const LATE_MS = 550;
/** A set-up that crosses the end of its connection within this time goes again on a new connection, once. */
const CROSSING_MS = 50;

runCase(__dirname, async ({ record, temporary, trouble, processes }) => {
  const bus = new Bus(record);
  await bus.listen();
  const exchanges = [];
  for (let number = 1; number <= EXCHANGES; number += 1) {
    const exchange = new Exchange(record, `s-0000000${number}`, number, {
      circuits: 140, answerMs: ANSWER_MS, holdMs: 1000, descriptionOctets: DESCRIPTION_OCTETS,
    });
    processes.push(exchange);
    await exchange.start();
    exchanges.push(exchange);
  }
  const own = target('s-00000000', 0, `127.0.0.1:${await freePort('127.0.0.1')}`);
  bus.publish(true, [own, ...exchanges.map((exchange) => target(exchange.uid, exchange.number, exchange.address))]);
  const controller = new Controller(record, temporary, bus, await freePort('127.0.0.1'));
  processes.push(controller);
  await controller.start();
  await sleep(300);

  /** Calls by id: when, on which connection and how often they were sent. */
  const calls = new Map();
  const callers = [];
  let caller;
  const connect = async () => {
    caller = new Caller(record, controller.port, `caller ${callers.length + 1}`);
    callers.push(caller);
    await caller.connect();
  };
  const send = (id, dest) => {
    calls.set(id, { dest, sentAt: Date.now(), on: caller, times: (calls.get(id)?.times || 0) + 1 });
    caller.invite(id, { dest, expires: EXPIRES_MS });
  };
  const answered = (id) => callers.some((one) => one.answers.has(id));
  await connect();

  const start = Date.now();
  const stopAt = start + BEFORE_MS;
  const [hanging] = exchanges;
  let state = 'before';
  let due = 0;
  let toOthers = 0;
  while (Date.now() < stopAt + HANG_MS + AFTER_MS) {
    if (caller.closed !== null) {
      const { closed } = caller;
      const again = [...calls].filter(([id, call]) => call.on === caller && !answered(id) && call.times === 1 && closed - call.sentAt < CROSSING_MS);
      await connect();
      again.forEach(([id, { dest }]) => send(id, dest));
    }
    if (trouble && state === 'before' && Date.now() >= stopAt) {
      state = 'hangs';
      await hanging.command('hold answers', { on: true });
    }
    if (state === 'hangs' && Date.now() >= stopAt + HANG_MS) {
      state = 'after';
      await hanging.command('hold answers', { on: false });
    }
    for (; due < ((Date.now() - start) * CALLS_PER_S) / 1000; due += 1) {
      const toHanging = Math.floor((due + 1) * SHARE) > Math.floor(due * SHARE);
      if (!toHanging) toOthers += 1;
      send(callId(due + 1), toHanging ? 1 : 2 + (toOthers % (EXCHANGES - 1)));
    }
    await sleep(5);
  }
  await sleep(EXPIRES_MS + LATE_MS + 100);
  bus.close();

  const broken = [];
  for (const [id, call] of calls) {
    const answers = callers.flatMap((one) => one.answers.get(id) || []);
    if (answers.length > 1) broken.push(`call ${id} got ${answers.length} final answers`);
    if (answers.length === 0 || answers[0].at - call.sentAt > EXPIRES_MS + LATE_MS) {
      const ended = call.on.closed === null ? '' : `; its connection was ended by the controller ${call.on.closed - call.sentAt} ms after it was sent`;
      broken.push(`call ${id} got no final answer in time${ended}`);
    }
  }
  return broken;
});
