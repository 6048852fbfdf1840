// A controller and an exchange for its calls to reach, as processes of their own.
import { spawn } from "node:child_process";
import { existsSync, mkdtempSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { after } from "node:test";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { WebSocket } from "ws";
import { Client } from "../dist/index.js";

const target = fileURLToPath(new URL("../../../target/", import.meta.url));
const program = [process.env.MINTSTALL, join(target, "debug/mintstall"), join(target, "release/mintstall")].find(
  (path) => path && existsSync(path),
);
if (!program) throw new Error("build the command first: cargo build");
const folder = mkdtempSync(join(tmpdir(), "mintstall-ts-"));
const children = [];
// Whatever became of the tests, nothing is left running, or keeps this process waiting.
after(() => children.forEach((child) => child.kill("SIGKILL")));

function start(args) {
  const child = spawn(program, args, { stdio: ["ignore", "pipe", "inherit"] });
  children.push(child);
  return new Promise((done, fail) => {
    let text = "";
    child.once("exit", (code) => fail(new Error(`ended with ${code}`)));
    child.stdout.on("data", (data) => {
      text += data;
      if (text.includes("\n")) done({ child, said: JSON.parse(text.split("\n")[0]) });
    });
  });
}

/** `far`: what the exchange does with set-ups; `more`: fields of the controller's configuration. */
export async function site(far = {}, more = {}) {
  const plan = join(folder, `far-${children.length}.json`);
  writeFileSync(plan, JSON.stringify(far));
  const { said: there } = await start(["far", "127.0.0.1:0", plan, "--for-s", "120"]);
  const file = join(folder, `exchange-${children.length}.json`);
  const any = "127.0.0.1:0";
  const type = { name: "call", setup_target_ms: 2000, guard_time_ms: 9000, revenue: 1, mean_hold_ms: 10000 };
  const config = {
    exchange: 1,
    signalling: { links: [{ to: 2, circuits: 31, connect: there.signalling }] },
    calls: { listen: any },
    admin: { listen: any },
    call_types: [type],
    ...more,
  };
  writeFileSync(file, JSON.stringify(config));
  const { child, said } = await start(["run", "--config", file]);
  const status = () => ask(said.admin, "status");
  while ((await status()).groups[0].free !== 31) await rest(20);
  const client = (name = "test") => new Client({ url: `ws://${said.calls}/calls`, name, WebSocket });
  return { said, status, client, stop: () => child.kill("SIGTERM"), exited: new Promise((done) => child.once("exit", done)) };
}

export const rest = (ms) => new Promise((done) => setTimeout(done, ms));

function ask(address, method) {
  const at = address.lastIndexOf(":");
  return new Promise((done, fail) => {
    const socket = connect(Number(address.slice(at + 1)), address.slice(0, at));
    let text = "";
    socket.on("error", fail);
    socket.on("data", (data) => {
      text += data;
      if (!text.includes("\n")) return;
      socket.destroy();
      done(JSON.parse(text).result);
    });
    socket.write(JSON.stringify({ jsonrpc: "2.0", id: 1, method }) + "\n");
  });
}
