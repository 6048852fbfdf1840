// Prints news of calls until it is stopped. Reconnects after disconnections. Usage: node examples/monitor.mjs URL
import { Client } from "../dist/index.js";

const [url] = process.argv.slice(2);
if (!url) {
  console.error("usage: node examples/monitor.mjs ws://127.0.0.1:7300/calls");
  process.exit(2);
}
const options = { url, name: "monitor example", token: process.env.MINTSTALL_TOKEN };
if (!globalThis.WebSocket) options.WebSocket = (await import("ws")).WebSocket;
if (options.token === undefined) delete options.token;
const client = new Client(options);
client.on((event) => {
  if (event.what === "news") console.log(event.number, JSON.stringify(event.event));
  else if (event.what === "missed") console.log(`${event.count} events were missed`);
  else console.error(event.what, event.why ?? "");
});
client.watch();
process.on("SIGINT", () => client.close());
