#!/usr/bin/env node
import { readFileSync } from "node:fs";
import { cac } from "cac";
import { openIncarnation } from "../controller/membership/index.js";
import { processEvents } from "../log/events/process.js";
import { PinoLogger } from "../log/index.js";
import { Proxy } from "../proxy/index.js";
import { formatFault, loadProxySettings, type ProxySettings } from "../settings/index.js";
import { createSystemClock, createSystemRandom, stopOnSignal } from "../system/index.js";

const exitInvalidSettings = 2;
const exitFailed = 1;
const exitMarginMs = 5000;

interface Flags {
  readonly check?: boolean;
}

const cli = cac("radishwalk-proxy");
cli
  .command("<settings>", "Run one proxy with the settings of a YAML file, until SIGTERM")
  .option("--check", "Check the settings and exit: 0 without faults, 2 with faults")
  .action((path: string, flags: Flags) => {
    const settings = readSettings(path);
    if (settings === undefined) process.exitCode = exitInvalidSettings;
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
    stopOnSignal(() => void stopProxy(proxy, settings, logger));
    await proxy.start();
  } catch (error) {
    logger.write(processEvents.unexpectedError, { reason: String(error) });
    process.exit(exitFailed);
  }
}

async function stopProxy(proxy: Proxy, settings: ProxySettings, logger: PinoLogger): Promise<void> {
  forceExitAfterDrain(settings, logger);
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
 * Exits the process if the drain has not finished after its limit and a margin. A resource that is
 * never released would otherwise keep the process running indefinitely, not ready and without releasing
 * its VM to the platform. No request may outlast the drain's limit, so the forced exit aborts nothing
 * that the drain still had to complete.
 */
function forceExitAfterDrain({ drain }: ProxySettings, logger: PinoLogger): void {
  const limitMs = drain.announceMs + drain.limitMs + exitMarginMs;
  setTimeout(() => {
    logger.write(processEvents.exitForced, { limitMs });
    process.exit(exitFailed);
  }, limitMs);
}
