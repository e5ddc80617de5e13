// Installs the locked packages when they are missing or out of date, then builds.
import { execSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";

const installed = "node_modules/.package-lock.json";
const isCurrent =
  existsSync(installed) && statSync(installed).mtimeMs >= statSync("package-lock.json").mtimeMs;

const run = (command) => execSync(command, { stdio: ["ignore", "inherit", "inherit"] });

if (!isCurrent) run("npm ci --no-audit --no-fund");
run("npm run --silent build");
