import { spawnSync } from "node:child_process";
import { join } from "node:path";

/** Bundles the node as the deploy file does, so that a run starts the sources as they are. Throws if that fails. */
export function buildBundle(repository: string): void {
  const script = join(repository, "scripts/bundle.mjs");
  const { status, stderr } = spawnSync(process.execPath, [script], {
    cwd: repository,
    encoding: "utf8",
  });
  if (status !== 0 || stderr !== "") throw new Error(`${script} failed: ${stderr}`);
}
