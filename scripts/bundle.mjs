// Bundles the node for the platform into target/. One file loads in a fraction of the time of the
// hundreds that it is made of, and leaves out what a node does not use.
import { build } from "esbuild";

await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/radishwalk-node.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  // Libraries written for CommonJS ask for Node's own modules by `require`.
  banner: {
    js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
  alias: { undici: "./scripts/shims/undici.cjs" },
  minify: true,
  keepNames: false,
  logLevel: "warning",
});
