import { cac } from "cac";
import { StandinPlatform } from "./server.js";

const cli = cac("radishwalk-standin-platform");
cli
  .command("", "Run a stand-in platform until SIGINT or SIGTERM")
  .option("--host <host>", "Address to listen on", { default: "127.0.0.1" })
  .option("--port <port>", "Port to listen on; 0 selects a free one", { default: 0 })
  .action(runPlatform);
cli.help();
cli.parse();

async function runPlatform(flags: { readonly host: string; readonly port: number }): Promise<void> {
  const platform = new StandinPlatform(flags);
  await platform.start();
  console.log(JSON.stringify(platform.address));
  const stop = () => void platform.dispose();
  process.once("SIGINT", stop);
  process.once("SIGTERM", stop);
}
