import { cac } from "cac";
import { firstTerm } from "../../src/model/index.js";
import { StandinTarget } from "./server.js";

interface Flags {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly slots: number;
  readonly connections: number;
  readonly connectMs: number;
  readonly serviceMs: number;
  readonly lagMs: number;
  readonly follow?: string;
}

const cli = cac("radishwalk-standin-target");
cli
  .command("", "Run a stand-in target until SIGINT or SIGTERM")
  .option("--name <name>", "Name of the target", { default: "target" })
  .option("--host <host>", "Address to listen on", { default: "127.0.0.1" })
  .option("--port <port>", "Port to listen on; 0 chooses a free one", { default: 0 })
  .option("--slots <n>", "Statements executed at once", { default: 5 })
  .option("--connections <n>", "Ordinary connections at once", { default: 55 })
  .option("--connect-ms <ms>", "Time to set up a connection", { default: 12 })
  .option("--service-ms <ms>", "Time that a statement holds its slot", { default: 1 })
  .option("--lag-ms <ms>", "Replication lag as a replica", { default: 0 })
  .option("--follow <name@host:port>", "Start as a replica of this target")
  .action(runTarget);
cli.help();
cli.parse();

async function runTarget(flags: Flags): Promise<void> {
  const target = new StandinTarget({ ...flags, name: flags.name });
  await target.start();
  if (flags.follow !== undefined) startFollowing(target, flags.follow);
  const { host, port } = target.address;
  console.log(JSON.stringify({ name: target.name, host, port }));
  const stop = () => void target.dispose();
  process.once("SIGINT", stop);
  process.once("SIGTERM", stop);
}

function startFollowing(target: StandinTarget, text: string): void {
  const [, name, host, port] = /^([^@]+)@(.+):(\d+)$/.exec(text) ?? [];
  if (name === undefined || host === undefined)
    throw new Error(`invalid --follow value, expected name@host:port: ${text}`);
  target.member.follow({ name, address: { host, port: Number(port) }, term: firstTerm });
}
