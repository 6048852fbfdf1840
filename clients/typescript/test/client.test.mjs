// Tests the client against a controller process, and against a scripted server.
import assert from "node:assert/strict";
import { test } from "node:test";
import { WebSocket, WebSocketServer } from "ws";
import { Client, ComeBack, Redial, subprotocol } from "../dist/index.js";
import { sleep, startControllerAndExchange } from "./processes.mjs";

const offer = (more = {}) => ({ dest: 2, number: 5551000, time_left_ms: 5000, ...more });

test("a standing call can be queried, traced, watched and hung up, and ends with its controller", async () => {
  const { newClient, stop, exited, status } = await startControllerAndExchange();
  const client = newClient();
  const events = [];
  client.on((event) => events.push(event));
  await client.opened();
  client.watch();
  const outcome = await client.call(offer());
  assert.equal(outcome.answer, "stands");
  assert.ok(Number.isSafeInteger(outcome.exchangeCall), "received without loss of precision");
  assert.equal((await client.get(outcome.call)).state, "stands");
  const { traces } = await client.trace(outcome.exchangeCall);
  assert.deepEqual(traces[0].steps.map(({ step }) => step), ["offered", "seized", "stands", "answered"]);
  const news = events.find(({ what }) => what === "news");
  assert.equal(news.event.exchange_call, outcome.exchangeCall);
  client.hangUp(outcome.call);
  await assert.rejects(client.get(99), { code: -32001 });
  assert.equal((await status()).calls, 0);
  const standing = await client.call(offer());
  stop();
  await exited;
  await sleep(50);
  assert.ok(events.some(({ what, call }) => what === "ended" && call === standing.call));
  client.close();
});

test("a call that is cancelled fails at once", async () => {
  const { newClient, stop } = await startControllerAndExchange({ silent: 1 });
  const client = newClient();
  await client.opened();
  const { call, outcome } = client.start(offer());
  await sleep(100);
  const cancelledAt = Date.now();
  client.cancel(call);
  assert.deepEqual(await outcome, { answer: "fails", call });
  assert.ok(Date.now() - cancelledAt < 2000);
  client.close();
  stop();
});

/** A server that passes each request, with the index of its connection, to `onRequest`, which sends the replies. */
async function startServer(onRequest) {
  const wss = new WebSocketServer({ port: 0, host: "127.0.0.1", handleProtocols: () => subprotocol });
  await new Promise((resolve) => wss.once("listening", resolve));
  let connections = 0;
  wss.on("connection", (socket) => {
    const connection = connections++;
    socket.on("message", (data) => {
      const { id, method, params } = JSON.parse(data);
      const send = (...messages) =>
        messages.forEach((message) => socket.send(JSON.stringify({ jsonrpc: "2.0", ...message })));
      onRequest({ connection, id, method, params, send, socket });
    });
  });
  const { port } = wss.address();
  const options = { url: `ws://127.0.0.1:${port}/calls`, name: "test", WebSocket };
  const comeBack = { first: 20, last: 40, steady: 1000 };
  return { newClient: () => new Client({ ...options, comeBack }), close: () => wss.close() };
}

const limits = {
  calls_a_session: 9, calls_a_customer: 9, offers_per_s: 9, requests_per_s: 9,
  text_octets: 999, kept_ms: 9999, repeat_ms: 9999,
};
const welcome = (calls = [], owed = 0, session = "k1") => ({
  server: "test", version: "0", exchange: 1, limits, session, calls, owed,
});

test("resuming a session settles the offers in doubt", async () => {
  const offers = [];
  const { newClient, close } = await startServer(({ connection, id, method, params, send, socket }) => {
    if (method === "session.hello") {
      if (connection === 0) return send({ id, result: welcome() });
      assert.equal(params.resume, "k1");
      const callsAtServer = [
        { call: 1, exchange_call: 11, state: "stands" },
        { call: 2, exchange_call: 12, state: "offered" },
      ];
      // The welcome and the kept message arrive in the same read.
      send(
        { id, result: welcome(callsAtServer, 1) },
        { id: 4, result: { call: 4, exchange_call: 14, answer: "fails" } },
      );
      setTimeout(() => send({ id: 2, result: { call: 2, exchange_call: 12, answer: "fails" } }), 50);
    } else if (method === "call.offer") {
      offers.push([connection, params.call]);
      if (connection === 1) send({ id, result: { call: id, exchange_call: 99, answer: "stands" } });
      else if (params.call === 4) socket.terminate();
    }
  });
  const client = newClient();
  await client.opened();
  const outcomes = await Promise.all([1, 2, 3, 4].map(() => client.call(offer())));
  assert.deepEqual(
    outcomes.map(({ answer, exchangeCall }) => [answer, exchangeCall]),
    [["stands", 11], ["fails", undefined], ["stands", 99], ["fails", undefined]],
  );
  // Only the call that the server never received is offered again.
  assert.deepEqual(offers.filter(([connection]) => connection === 1), [[1, 3]]);
  client.close();
  close();
});

test("the calls of an ended session are lost or ended", async () => {
  const { newClient, close } = await startServer(({ connection, id, method, params, send, socket }) => {
    if (method === "session.hello" && params.resume) {
      send({ id, error: { code: -32004, message: "no such session is kept" } });
    } else if (method === "session.hello") {
      send({ id, result: welcome([], 0, `k${connection}`) });
    } else if (method === "call.offer" && connection === 0) {
      if (params.call === 1) send({ id, result: { call: 1, exchange_call: 1, answer: "stands" } });
      else socket.terminate();
    }
  });
  const client = newClient();
  const events = [];
  client.on((event) => events.push(event));
  await client.opened();
  assert.equal((await client.call(offer())).answer, "stands");
  assert.equal((await client.call(offer())).answer, "lost");
  await sleep(20);
  assert.ok(events.some(({ what, call }) => what === "ended" && call === 1));
  assert.equal(client.calls, 0);
  client.close();
  close();
});

test("a client that is denied does not reconnect", async () => {
  let hellos = 0;
  const { newClient, close } = await startServer(({ id, send }) => {
    hellos += 1;
    send({ id, error: { code: -32004, message: "no token" } });
  });
  const client = newClient();
  await assert.rejects(client.opened(), /no token/);
  await sleep(150);
  assert.equal(hellos, 1);
  close();
});

test("delays grow, the wait of the server is kept, and only a stable connection resets the failures", () => {
  const backoff = new ComeBack(undefined, () => 1);
  assert.deepEqual([0, 0, 0].map(() => backoff.failed(0)), [100, 200, 400]);
  assert.equal(backoff.failed(0, 3000), 3800);
  backoff.opened(0);
  assert.equal(backoff.failed(500), 1600);
  backoff.opened(1000);
  assert.equal(backoff.failed(12_000), 100);
  backoff.opened(12_100);
  assert.deepEqual(
    [0, 0, 0].map(() => backoff.failed(12_200, 0, 1000)),
    [200, 250, 250],
    "at most a quarter of the second for which the session is kept",
  );
});

test("redials are limited by count, time left and credit", () => {
  const plan = { offers: 3, first: 250, earned: 0.5, mostSaved: 1, leastLeft: 300 };
  const redial = new Redial(plan, () => 0);
  assert.equal(redial.again(5000, 3), undefined);
  assert.equal(redial.again(1000, 1, 900), undefined);
  assert.equal(redial.again(5000, 1, 900), 900 + 125, "the jittered delay is added to the wait of the server");
  assert.equal(redial.again(5000, 1), undefined, "no credit is left");
  redial.firstOffer();
  redial.firstOffer();
  assert.equal(redial.again(5000, 1), 125);
});

// Guards against: attempts that are all given up after the same time, so that a server that serves later is never reached.
test("a server that opens late is given more time each time", async () => {
  const openedAfter = 250;
  let attempts = 0;
  class LateSocket {
    readyState = 0;
    constructor() {
      attempts++;
      setTimeout(() => this.#open(), openedAfter);
    }
    #open() {
      if (this.readyState === 3) return;
      this.readyState = 1;
      this.onopen?.();
    }
    send(text) {
      const { id } = JSON.parse(text);
      const result = { exchange: 1, limits: { kept_ms: 0 } };
      this.onmessage?.({ data: JSON.stringify({ jsonrpc: "2.0", id, result }) });
    }
    close() {
      this.readyState = 3;
    }
  }
  const comeBack = { first: 1, last: 10, steady: 1000 };
  const client = new Client({ url: "ws://late/calls", name: "late", WebSocket: LateSocket, openWithin: 50, comeBack });
  const opened = await Promise.race([client.opened().then(() => true), sleep(3000).then(() => false)]);
  client.close();
  assert.ok(opened, `not opened in ${attempts} attempts`);
  assert.ok(attempts <= 4, `${attempts} attempts`);
});
