// Starts a controller and an emulated exchange that its calls reach, each in a process of its own.
import { spawn } from "node:child_process";
import { existsSync, mkdtempSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { after } from "node:test";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { WebSocket } from "ws";
import { Client } from "../dist/index.js";

const targetDir = fileURLToPath(new URL("../../../target/", import.meta.url));
const program = [process.env.MINTSTALL, join(targetDir, "debug/mintstall"), join(targetDir, "release/mintstall")].find(
  (path) => path && existsSync(path),
);
if (!program) throw new Error("the mintstall command is not built: run cargo build first");
const tempDir = mkdtempSync(join(tmpdir(), "mintstall-ts-"));
const children = [];
// Also after a failed test: a child left running would keep this process from exiting.
after(() => children.forEach((child) => child.kill("SIGKILL")));

/** Starts the command. Resolves with the process and the first line of its output, which is JSON. */
function startProcess(args) {
  const child = spawn(program, args, { stdio: ["ignore", "pipe", "inherit"] });
  children.push(child);
  return new Promise((resolve, reject) => {
    let text = "";
    child.once("exit", (code) => reject(new Error(`mintstall ${args[0]} exited with code ${code}`)));
    child.stdout.on("data", (data) => {
      text += data;
      if (text.includes("\n")) resolve({ child, addresses: JSON.parse(text.split("\n")[0]) });
    });
  });
}

/** `farPlan`: how the exchange handles set-ups. `more`: further fields of the controller's configuration. */
export async function startControllerAndExchange(farPlan = {}, more = {}) {
  const planFile = join(tempDir, `far-${children.length}.json`);
  writeFileSync(planFile, JSON.stringify(farPlan));
  const { addresses: exchange } = await startProcess(["far", "127.0.0.1:0", planFile, "--for-s", "120"]);
  const configFile = join(tempDir, `exchange-${children.length}.json`);
  const anyPort = "127.0.0.1:0";
  const callType = { name: "call", setup_target_ms: 2000, guard_time_ms: 9000, revenue: 1, mean_hold_ms: 10000 };
  const config = {
    exchange: 1,
    signalling: { links: [{ to: 2, circuits: 31, connect: exchange.signalling }] },
    calls: { listen: anyPort },
    admin: { listen: anyPort },
    call_types: [callType],
    ...more,
  };
  writeFileSync(configFile, JSON.stringify(config));
  const { child, addresses } = await startProcess(["run", "--config", configFile]);
  const status = () => adminRequest(addresses.admin, "status");
  while ((await status()).groups[0].free !== 31) await sleep(20);
  const newClient = (name = "test") => new Client({ url: `ws://${addresses.calls}/calls`, name, WebSocket });
  const exited = new Promise((resolve) => child.once("exit", resolve));
  return { addresses, status, newClient, stop: () => child.kill("SIGTERM"), exited };
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function adminRequest(address, method) {
  const colon = address.lastIndexOf(":");
  return new Promise((resolve, reject) => {
    const socket = connect(Number(address.slice(colon + 1)), address.slice(0, colon));
    let text = "";
    socket.on("error", reject);
    socket.on("data", (data) => {
      text += data;
      if (!text.includes("\n")) return;
      socket.destroy();
      resolve(JSON.parse(text).result);
    });
    socket.write(JSON.stringify({ jsonrpc: "2.0", id: 1, method }) + "\n");
  });
}
