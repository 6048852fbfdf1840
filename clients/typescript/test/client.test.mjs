// The client against a controller of its own process, and against a server that says what it is told to.
import assert from "node:assert/strict";
import { test } from "node:test";
import { WebSocket, WebSocketServer } from "ws";
import { Client, ComeBack, Redial, subprotocol } from "../dist/index.js";
import { rest, site } from "./site.mjs";

const wish = (more = {}) => ({ dest: 2, number: 5551000, time_left_ms: 5000, ...more });

test("a call stands, is asked for, traced, watched and hung up", async () => {
  const { client: dial, stop, exited, status } = await site();
  const client = dial();
  const events = [];
  client.on((happening) => events.push(happening));
  await client.opened();
  client.watch();
  const outcome = await client.call(wish());
  assert.equal(outcome.answer, "stands");
  assert.ok(Number.isSafeInteger(outcome.exchangeCall), "read whole");
  assert.equal((await client.get(outcome.call)).state, "stands");
  const { traces } = await client.trace(outcome.exchangeCall);
  assert.deepEqual(traces[0].steps.map(({ step }) => step), ["offered", "seized", "stands", "answered"]);
  const news = events.find(({ what }) => what === "news");
  assert.equal(news.event.exchange_call, outcome.exchangeCall);
  client.hangUp(outcome.call);
  await assert.rejects(client.get(99), { code: -32001 });
  assert.equal((await status()).calls, 0);
  const standing = await client.call(wish());
  stop();
  await exited;
  await rest(50);
  assert.ok(events.some(({ what, call }) => what === "ended" && call === standing.call));
  client.close();
});

test("a call that is cancelled fails at once", async () => {
  const { client: dial, stop } = await site({ silent: 1 });
  const client = dial();
  await client.opened();
  const { call, outcome } = client.start(wish());
  await rest(100);
  const asked = Date.now();
  client.cancel(call);
  assert.deepEqual(await outcome, { answer: "fails", call });
  assert.ok(Date.now() - asked < 2000);
  client.close();
  stop();
});

/** A server whose every connection is handed to `serve`, which says what it likes. */
async function server(serve) {
  const wss = new WebSocketServer({ port: 0, host: "127.0.0.1", handleProtocols: () => subprotocol });
  await new Promise((done) => wss.once("listening", done));
  let no = 0;
  wss.on("connection", (socket) => {
    const at = no++;
    socket.on("message", (data) => {
      const { id, method, params } = JSON.parse(data);
      const say = (...texts) => texts.forEach((text) => socket.send(JSON.stringify({ jsonrpc: "2.0", ...text })));
      serve({ at, id, method, params, say, socket });
    });
  });
  const { port } = wss.address();
  const options = { url: `ws://127.0.0.1:${port}/calls`, name: "test", WebSocket };
  const comeBack = { first: 20, last: 40, steady: 1000 };
  return { client: () => new Client({ ...options, comeBack }), close: () => wss.close() };
}

const limits = {
  calls_a_session: 9, calls_a_customer: 9, offers_per_s: 9, requests_per_s: 9,
  text_octets: 999, kept_ms: 9999, repeat_ms: 9999,
};
const welcome = (calls = [], owed = 0, session = "k1") => ({
  server: "test", version: "0", exchange: 1, limits, session, calls, owed,
});

test("a session that is taken up settles what was in doubt", async () => {
  const offers = [];
  const { client: dial, close } = await server(({ at, id, method, params, say, socket }) => {
    if (method === "session.hello") {
      if (at === 0) return say({ id, result: welcome() });
      assert.equal(params.resume, "k1");
      const there = [
        { call: 1, exchange_call: 11, state: "stands" },
        { call: 2, exchange_call: 12, state: "offered" },
      ];
      // The welcome and what is owed come in one go.
      say(
        { id, result: welcome(there, 1) },
        { id: 4, result: { call: 4, exchange_call: 14, answer: "fails" } },
      );
      setTimeout(() => say({ id: 2, result: { call: 2, exchange_call: 12, answer: "fails" } }), 50);
    } else if (method === "call.offer") {
      offers.push([at, params.call]);
      if (at === 1) say({ id, result: { call: id, exchange_call: 99, answer: "stands" } });
      else if (params.call === 4) socket.terminate();
    }
  });
  const client = dial();
  await client.opened();
  const outcomes = await Promise.all([1, 2, 3, 4].map(() => client.call(wish())));
  assert.deepEqual(
    outcomes.map(({ answer, exchangeCall }) => [answer, exchangeCall]),
    [["stands", 11], ["fails", undefined], ["stands", 99], ["fails", undefined]],
  );
  // Only the one that the server never had is offered again.
  assert.deepEqual(offers.filter(([at]) => at === 1), [[1, 3]]);
  client.close();
  close();
});

test("a session that is over has lost its calls and says so", async () => {
  const { client: dial, close } = await server(({ at, id, method, params, say, socket }) => {
    if (method === "session.hello" && params.resume) {
      say({ id, error: { code: -32004, message: "no such session is kept" } });
    } else if (method === "session.hello") {
      say({ id, result: welcome([], 0, `k${at}`) });
    } else if (method === "call.offer" && at === 0) {
      if (params.call === 1) say({ id, result: { call: 1, exchange_call: 1, answer: "stands" } });
      else socket.terminate();
    }
  });
  const client = dial();
  const happened = [];
  client.on((happening) => happened.push(happening));
  await client.opened();
  assert.equal((await client.call(wish())).answer, "stands");
  assert.equal((await client.call(wish())).answer, "lost");
  await rest(20);
  assert.ok(happened.some(({ what, call }) => what === "ended" && call === 1));
  assert.equal(client.calls, 0);
  client.close();
  close();
});

test("a client that is denied does not come back", async () => {
  let hellos = 0;
  const { client: dial, close } = await server(({ id, say }) => {
    hellos += 1;
    say({ id, error: { code: -32004, message: "no token" } });
  });
  const client = dial();
  await assert.rejects(client.opened(), /no token/);
  await rest(150);
  assert.equal(hellos, 1);
  close();
});

test("waits grow, keep to what was told, and are forgotten only after a steady connection", () => {
  const back = new ComeBack(undefined, () => 1);
  assert.deepEqual([0, 0, 0].map(() => back.failed(0)), [100, 200, 400]);
  assert.equal(back.failed(0, 3000), 3800);
  back.opened(0);
  assert.equal(back.failed(500), 1600);
  back.opened(1000);
  assert.equal(back.failed(12_000), 100);
  back.opened(12_100);
  assert.deepEqual([0, 0, 0].map(() => back.failed(12_200, 0, 1000)), [200, 250, 250], "the session is kept for a second");
});

test("what is offered again is bounded by number, time and credit", () => {
  const plan = { offers: 3, first: 250, earned: 0.5, mostSaved: 1, leastLeft: 300 };
  const redial = new Redial(plan, () => 0);
  assert.equal(redial.again(5000, 3), undefined);
  assert.equal(redial.again(1000, 1, 900), undefined);
  assert.equal(redial.again(5000, 1, 900), 900 + 125, "a draw behind the told wait");
  assert.equal(redial.again(5000, 1), undefined, "spent");
  redial.firstOffer();
  redial.firstOffer();
  assert.equal(redial.again(5000, 1), 125);
});
