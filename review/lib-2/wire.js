'use strict';
// Codecs of the platform's protocol (PROTOCOL.md): binary messages of exchanges, SIP messages of callers.

const TYPE = { SETUP: 1, PROGRESS: 6, ANSWER: 9, RELEASE: 12, RELEASE_HEARD: 16, STATE: 43, TEST: 52, TEST_RESULT: 53 };
const PARAM = { CLASS: 33, EXPIRES: 34, NUMBER: 37, NOTE: 40, WAIT: 41, REPORT: 42, CAUSE: 47, DESCRIPTION: 48 };

/** Encodes a message. `parameters` is a list of [code, Buffer | string]. */
function encodeMessage(type, call, parameters = []) {
  const parts = parameters.map(([code, value]) => {
    const octets = Buffer.isBuffer(value) ? value : Buffer.from(value);
    const head = Buffer.alloc(3);
    head.writeUInt8(code, 0);
    head.writeUInt16BE(octets.length, 1);
    return Buffer.concat([head, octets]);
  });
  const rest = Buffer.concat([Buffer.from([type]), Buffer.from(call, 'hex'), ...parts]);
  const length = Buffer.alloc(2);
  length.writeUInt16BE(rest.length, 0);
  return Buffer.concat([length, rest]);
}

const causeOf = (cause) => [PARAM.CAUSE, Buffer.from([cause])];

/** Splits the octets of a link into messages. */
class MessageDecoder {
  constructor() { this.buffer = Buffer.alloc(0); }
  push(octets) {
    this.buffer = Buffer.concat([this.buffer, octets]);
    const messages = [];
    while (this.buffer.length >= 2) {
      const length = this.buffer.readUInt16BE(0);
      if (this.buffer.length < 2 + length) break;
      const body = this.buffer.subarray(2, 2 + length);
      this.buffer = this.buffer.subarray(2 + length);
      const message = { type: body[0], call: body.subarray(1, 9).toString('hex'), parameters: new Map() };
      for (let at = 9; at + 3 <= body.length;) {
        const valueLength = body.readUInt16BE(at + 1);
        message.parameters.set(body[at], Buffer.from(body.subarray(at + 3, at + 3 + valueLength)));
        at += 3 + valueLength;
      }
      messages.push(message);
    }
    return messages;
  }
}

/** Encodes a SIP message: start line, headers as [name, value], body. */
function encodeSip(start, headers, body = '') {
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return `${start}\r\n${lines}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/** Splits the octets of a caller's connection into SIP messages. */
class SipDecoder {
  constructor() { this.buffer = Buffer.alloc(0); }
  push(octets) {
    this.buffer = Buffer.concat([this.buffer, octets]);
    const messages = [];
    for (;;) {
      const end = this.buffer.indexOf('\r\n\r\n');
      if (end < 0) break;
      const [start, ...lines] = this.buffer.subarray(0, end).toString().split('\r\n');
      const headers = new Map(lines.map((line) => {
        const colon = line.indexOf(':');
        return [line.slice(0, colon).trim().toLowerCase(), line.slice(colon + 1).trim()];
      }));
      const length = Number(headers.get('content-length') || 0);
      if (this.buffer.length < end + 4 + length) break;
      const body = this.buffer.subarray(end + 4, end + 4 + length).toString();
      this.buffer = this.buffer.subarray(end + 4 + length);
      const status = start.startsWith('SIP/2.0 ') ? Number(start.slice(8, 11)) : null;
      const method = status === null ? start.split(' ')[0] : null;
      const cseqMethod = (headers.get('cseq') || '').split(/\s+/)[1] || null;
      messages.push({ start, status, method, cseqMethod, headers, body, callId: headers.get('call-id') || null });
    }
    return messages;
  }
}

module.exports = { TYPE, PARAM, encodeMessage, causeOf, MessageDecoder, encodeSip, SipDecoder };
