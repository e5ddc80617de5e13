#!/usr/bin/env node
import { readFileSync } from "node:fs";
import { cac } from "cac";
import { openIncarnation } from "../controller/membership/index.js";
import { processEvents } from "../log/events/process.js";
import { PinoLogger } from "../log/index.js";
import { Proxy } from "../proxy/index.js";
import { formatFault, loadProxySettings, type ProxySettings } from "../settings/index.js";
import { createSystemClock, createSystemRandom } from "../system/index.js";

const exitFaulty = 2;
const exitFailed = 1;
const endMarginMs = 5000;

interface Flags {
  readonly check?: boolean;
}

const cli = cac("radishwalk-proxy");
cli
  .command("<settings>", "Run one proxy with the settings of a YAML file, until SIGTERM")
  .option("--check", "Check the settings and exit: 0 without faults, 2 with faults")
  .action((path: string, flags: Flags) => {
    const settings = readSettings(path);
    if (settings === undefined) process.exitCode = exitFaulty;
    else if (flags.check === true) console.log(`${path}: no faults`);
    else void runProxy(settings);
  });
cli.help();
cli.version("0.1.0");
cli.parse();

function readSettings(path: string): ProxySettings | undefined {
  const text = readText(path);
  if (text === undefined) return undefined;
  const loaded = loadProxySettings(text, path);
  const faults = loaded.type === "faulty" ? loaded.faults : loaded.warnings;
  for (const fault of faults) console.error(formatFault(fault));
  return loaded.type === "faulty" ? undefined : loaded.value;
}

function readText(path: string): string | undefined {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    console.error(`${path}: ${error instanceof Error ? error.message : String(error)}`);
    return undefined;
  }
}

async function runProxy(settings: ProxySettings): Promise<void> {
  const { vm, dataCentre, log } = settings;
  const logger = new PinoLogger({ level: log.level, base: { vm, dataCentre } });
  logger.write(processEvents.started, { settings: { vm, dataCentre, listen: settings.listen } });
  try {
    const proxy = await Proxy.create({
      settings,
      logger,
      clock: createSystemClock(),
      random: createSystemRandom(),
      incarnation: openIncarnation(Date.now()),
    });
    const stop = () => void stopProxy(proxy, settings, logger);
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    await proxy.start();
  } catch (error) {
    logger.write(processEvents.unexpectedError, { reason: String(error) });
    process.exit(exitFailed);
  }
}

async function stopProxy(proxy: Proxy, settings: ProxySettings, logger: PinoLogger): Promise<void> {
  boundEnd(settings, logger);
  try {
    await proxy.drain();
    await proxy.dispose();
    await logger.finish();
    process.exit(0);
  } catch (error) {
    logger.write(processEvents.unexpectedError, { reason: String(error) });
    process.exit(exitFailed);
  }
}

/**
 * A resource that is never released would keep the process up for good, unready and deaf to the
 * platform that wants its VM back. Nothing that is in flight may outlast the drain's limit, so an
 * end after that and a margin cuts off nothing that was still to be kept.
 */
function boundEnd({ drain }: ProxySettings, logger: PinoLogger): void {
  const limitMs = drain.announceMs + drain.limitMs + endMarginMs;
  setTimeout(() => {
    logger.write(processEvents.exitForced, { limitMs });
    process.exit(exitFailed);
  }, limitMs);
}
