// Generates src/messages.ts from schema.json, the output of `mintstall api schema`. With `--check` it only compares them.
import { readFileSync, writeFileSync } from "node:fs";
import { compile } from "json-schema-to-typescript";

const schema = JSON.parse(readFileSync(new URL("../schema.json", import.meta.url), "utf8"));
// One document with a property for each type, so that each type is generated once.
const document = {
  title: "Messages",
  type: "object",
  additionalProperties: false,
  properties: Object.fromEntries(Object.keys(schema.$defs).map((name) => [name, { $ref: `#/$defs/${name}` }])),
  $defs: schema.$defs,
};
const body = await compile(document, "Messages", {
  bannerComment: "// Written by scripts/types.mjs from schema.json. Do not edit.",
  printWidth: 110,
  format: true,
  additionalProperties: false,
});
const method = ([name, { params, result }]) =>
  `  ${JSON.stringify(name)}: { params: ${params.$ref.split("/").pop()}; result: ${result.$ref.split("/").pop()} };`;
const notification = ([name, params]) => `  ${JSON.stringify(name)}: ${params.$ref.split("/").pop()};`;
const tables = `
/** Parameters and result of each method. */
export interface Methods {
${Object.entries(schema.methods).map(method).join("\n")}
}

/** Parameters of each notification. */
export interface Notifications {
${Object.entries(schema.notifications).map(notification).join("\n")}
}

/** What each error code means. */
export const errors: Record<number, string> = {
${schema.errors.map(({ code, meaning }) => `  [${code}]: ${JSON.stringify(meaning)},`).join("\n")}
};

/** The subprotocol. */
export const subprotocol = ${JSON.stringify(schema.title)};
`;
const target = new URL("../src/messages.ts", import.meta.url);
if (process.argv.includes("--check")) {
  if (readFileSync(target, "utf8") !== body + tables) {
    console.error("src/messages.ts does not match schema.json: run `npm run types`");
    process.exit(1);
  }
} else {
  writeFileSync(target, body + tables);
}
