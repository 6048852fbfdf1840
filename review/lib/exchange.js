'use strict';
// A stand-in for one exchange, as a process. It answers set-ups, holds calls and releases them, answers tests, and sends
// the group's state on each new connection and when it changes. Commands come from the test that started it.

const net = require('node:net');

const options = { circuits: 30, answerMs: 30, holdMs: 0, descriptionOctets: 0, ...JSON.parse(process.env.EXCHANGE) };
const SET_UP = 1, ANSWER = 9, RELEASE = 12, RELEASE_HEARD = 16, STATE = 43, TEST = 52, TEST_RESULT = 53;

/** Calls by id: { standing, link }. */
let calls = new Map();
/** Releases that are sent once more on the next connection. */
let toRepeat = [];
const links = new Set();
let lastLink = 0;
/** Answers that are held back, while `hold` is set. */
let held = null;

const tell = (kind, text, call) => process.send({ kind, text, call, at: Date.now() });

function encode(type, call, parameters = []) {
  const parts = parameters.map(([code, value]) => {
    const octets = Buffer.isBuffer(value) ? value : Buffer.from(value);
    const head = Buffer.alloc(3);
    head.writeUInt8(code, 0);
    head.writeUInt16BE(octets.length, 1);
    return Buffer.concat([head, octets]);
  });
  const head = Buffer.alloc(11);
  const rest = Buffer.concat(parts);
  head.writeUInt16BE(9 + rest.length, 0);
  head.writeUInt8(type, 2);
  Buffer.from(call, 'hex').copy(head, 3);
  return Buffer.concat([head, rest]);
}

const report = () => `idle:${Math.max(0, options.circuits - calls.size)};circuits:${options.circuits}`;
const usable = () => [...links].filter((link) => !link.stale && !link.destroyed);
const sendState = (link) => link.write(encode(STATE, '0000000000000000', [[42, report()]]));
const tellState = () => usable().slice(0, 4).forEach(sendState);

/** Writes what one turn of the event loop has for a connection at once. */
function writeOnce(link, octets) {
  if (!link.writableCorked) {
    link.cork();
    setImmediate(() => link.uncork());
  }
  link.write(octets);
}

function setUp(link, call) {
  tell('set-up', `set-up ${call} has come on connection ${link.number}`, call);
  if (calls.size >= options.circuits) {
    tell('refused', `refuses ${call}: no circuit`, call);
    return link.write(encode(RELEASE, call, [[47, Buffer.from([34])], [40, 'congestion'], [42, report()]]));
  }
  calls.set(call, { standing: false, link });
  tellState();
  const answer = () => {
    if (calls.get(call)?.standing !== false) return;
    calls.get(call).standing = true;
    tell('answer', `answers ${call} on connection ${link.number}`, call);
    const text = `${options.uid}/${call}\r\nc=IN IP4 10.4.7.9\r\n`;
    writeOnce(link, encode(ANSWER, call, [[48, text.padEnd(options.descriptionOctets, 'a=candidate ')]]));
    if (options.holdMs) setTimeout(() => endCall(call), options.holdMs);
  };
  setTimeout(() => (held ? held.push(answer) : answer()), options.answerMs);
}

/** The call comes to its end here. */
function endCall(call) {
  const ended = calls.get(call);
  if (!ended?.standing) return;
  calls.delete(call);
  const octets = encode(RELEASE, call, [[47, Buffer.from([16])]]);
  const link = [ended.link, ...usable()].find((one) => usable().includes(one));
  tell('release', `call ${call} has come to its end${link ? `, release sent on connection ${link.number}` : ', no connection is open'}`, call);
  if (link) link.write(octets);
  toRepeat.push(octets);
  tellState();
}

function handle(link, type, call) {
  if (type === SET_UP) setUp(link, call);
  if (type === TEST) link.write(encode(TEST_RESULT, call, [[47, Buffer.from([1])], [42, report()]]));
  if (type === RELEASE) {
    const known = calls.get(call);
    tell('released', `${call} is released by the controller (${known ? (known.standing ? 'it stood' : 'not answered yet') : 'not known here'})`, call);
    calls.delete(call);
    link.write(encode(RELEASE_HEARD, call));
    if (known) tellState();
  }
}

const server = net.createServer({ noDelay: true }, (link) => {
  lastLink += 1;
  Object.assign(link, { number: lastLink, stale: false, rest: Buffer.alloc(0) });
  link.on('error', () => {});
  links.add(link);
  let opened = false;
  // A connection that was opened only to fill the backlog of a stopped process is closed already.
  setImmediate(() => {
    if (link.destroyed || link.readableEnded) return;
    opened = true;
    tell('connection', `connection ${link.number} has come up; state: ${report()}`);
    sendState(link);
    toRepeat.splice(0).forEach((octets) => link.write(octets));
  });
  link.on('close', () => {
    links.delete(link);
    for (const [call, { standing, link: on }] of calls) if (on === link && !standing) calls.delete(call);
    if (opened) tell('closed', `connection ${link.number} is closed${link.stale ? ' (of the former process)' : ''}`);
  });
  link.on('data', (octets) => {
    if (link.stale) {
      // The machine knows nothing of this connection: it answers with a reset.
      tell('reset', `something comes on connection ${link.number} of the former process: reset`);
      return link.resetAndDestroy();
    }
    link.rest = Buffer.concat([link.rest, octets]);
    while (link.rest.length >= 2 && link.rest.length >= 2 + link.rest.readUInt16BE(0)) {
      const length = link.rest.readUInt16BE(0);
      handle(link, link.rest[2], link.rest.toString('hex', 3, 11));
      link.rest = link.rest.subarray(2 + length);
    }
  });
});

process.on('message', ({ name, call, on }) => {
  if (name === 'end call') endCall(call);
  if (name === 'hold answers') {
    const answers = held || [];
    held = on ? [] : null;
    tell('held', on ? 'holds its answers back' : `gives ${answers.length} answers that it held back`);
    if (!on) answers.forEach((answer) => answer());
  }
  if (name === 'new process') {
    // What the machine knew is gone. Its former connections are open at the other end only.
    tell('over', `the machine vanishes with ${calls.size} standing calls: ${[...calls.keys()].join(' ')}`);
    calls = new Map();
    toRepeat = [];
    links.forEach((link) => { link.stale = true; });
  }
  process.send({ kind: 'done' });
});
process.on('disconnect', () => process.exit(0));
server.listen({ port: options.port, host: '127.0.0.1', backlog: options.backlog || 64 }, () => process.send({ kind: 'ready' }));
