// Bundles the node for the platform into target/: one file, which loads in a fraction of the time of the
// hundreds that it is made of, and a code cache with which it starts without compiling anything.
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { build } from "esbuild";

const common = { bundle: true, platform: "node", target: "node20", logLevel: "warning" };

await build({
  ...common,
  entryPoints: ["platform/main.ts"],
  outfile: "target/node-bundle.cjs",
  format: "cjs",
  minify: true,
});
await build({
  ...common,
  entryPoints: ["scripts/warm/main.ts"],
  outfile: "target/warm.mjs",
  format: "esm",
});
writeFileSync("target/radishwalk-node.cjs", readFileSync("scripts/start.cjs"));

// A cache counts only for a process with the same options as the one that made it.
const command = /^run = "node (.*?) ?target\/radishwalk-node\.cjs/m.exec(
  readFileSync("deploy/system.toml", "utf8"),
);
const options = (command?.[1] ?? "").split(" ").filter((option) => option !== "");
const warmed = spawnSync(process.execPath, [...options, "target/warm.mjs"], {
  stdio: ["ignore", "ignore", "inherit"],
});
if (warmed.status !== 0) throw new Error("no code cache could be made");
