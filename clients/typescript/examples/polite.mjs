// Calls a number, and redials with back-off while the call is refused or fails. Usage: node examples/polite.mjs URL DEST NUMBER
import { Client, Redial } from "../dist/index.js";

const [url, dest, number] = process.argv.slice(2);
if (!url || !dest || !number) {
  console.error("usage: node examples/polite.mjs ws://127.0.0.1:7300/calls DEST NUMBER");
  process.exit(2);
}
const options = { url, name: "polite example", token: process.env.MINTSTALL_TOKEN };
if (!globalThis.WebSocket) options.WebSocket = (await import("ws")).WebSocket;
if (options.token === undefined) delete options.token;
const client = new Client(options);
const offer = { dest: Number(dest), number: Number(number), time_left_ms: 6000 };
console.log(await client.callPolitely(new Redial(), offer));
client.close();
