import { cac, type CAC, type Command } from "cac";
import type { Disposable } from "../model/index.js";
import { runApply, type ApplyFlags } from "./apply.js";
import { runCheck } from "./check.js";
import type { CommandContext, Flags } from "./context.js";
import { runDiff } from "./diff.js";
import { runDrain } from "./drain.js";
import { toCommandFailure } from "./errors.js";
import { exitCodes, exitCodeHelp, type ExitCode } from "./exit-codes.js";
import { runExplain, type ExplainFlags } from "./explain.js";
import { runGet, type GetFlags } from "./get.js";
import { runStatus } from "./status.js";

/** Creates the context in which a command runs. */
export type ContextFactory = (flags: Flags) => CommandContext & Disposable;

/** The flags of all commands. The parser rejects flags that don't belong to the command. */
type AnyFlags = Flags & ApplyFlags & ExplainFlags & GetFlags;

type CommandRunner = (
  context: CommandContext,
  flags: AnyFlags,
  argument: string,
) => Promise<ExitCode>;

const defaultWaitSeconds = 10;

/**
 * Runs the command in `argv`, which has the form of `process.argv`, and resolves with the exit code.
 * Errors are passed to `printError`, as JSON if `--json` was given.
 */
export async function runProgram(
  argv: readonly string[],
  createContext: ContextFactory,
  printError: (text: string) => void,
): Promise<ExitCode> {
  const cli = buildProgram(createContext);
  try {
    cli.parse([...argv], { run: false });
    if (cli.options.help === true || cli.options.version === true) return exitCodes.done;
    if (cli.matchedCommand === undefined) {
      cli.outputHelp();
      return exitCodes.usage;
    }
    return (await cli.runMatchedCommand()) as ExitCode;
  } catch (error) {
    return reportError(error, cli.options.json === true, printError);
  }
}

function reportError(error: unknown, json: boolean, print: (text: string) => void): ExitCode {
  const { name, message, exitCode } = toCommandFailure(error);
  print(json ? JSON.stringify({ error: name, message, exitCode }) : `${name}: ${message}`);
  return exitCode;
}

function buildProgram(createContext: ContextFactory): CAC {
  const cli = cac("radishwalk");
  const setAction = (command: Command, run: CommandRunner) =>
    command.action(createAction(createContext, run));

  setAction(
    cli
      .command("apply <file>", "Apply teams and rules; wait until they are in force on all proxies")
      .option("--base <revision>", "The revision that the file is based on, if the file has none")
      .option("--wait <seconds>", "How long to wait for all proxies", {
        default: defaultWaitSeconds,
      }),
    (context, flags, file) => runApply(context, file, flags),
  );
  setAction(
    cli
      .command("get", "Print the stored teams and rules, to be edited and applied")
      .option("--output <file>", "Write them to a file"),
    (context, flags) => runGet(context, flags),
  );
  setAction(
    cli.command("diff <file>", "Show the changes that applying a file would make"),
    (context, _, file) => runDiff(context, file),
  );
  setAction(addExplainOptions(cli), (context, flags) => runExplain(context, flags));
  setAction(
    cli.command("status", "Show proxies, revisions, groups, owners and targets"),
    (context) => runStatus(context),
  );
  setAction(
    cli.command("drain <vm>", "Ask a proxy to finish its requests and exit"),
    (context, _, vm) => runDrain(context, vm),
  );
  setAction(cli.command("check <file>", "Check a file of teams and rules"), (context, _, file) =>
    runCheck(context, file),
  );
  addGlobalOptions(cli);
  return cli;
}

function addExplainOptions(cli: CAC): Command {
  return cli
    .command("explain", "Show which rule decides on a request, and why")
    .option("--team <name>", "The caller's team")
    .option("--group <name>", "The database group")
    .option("--kind <kind>", "The kind that the caller gives the request")
    .option("--effect <effect>", "read or write; the default is write")
    .option("--tables <names>", "Tables, separated by commas")
    .option("--transaction", "Inside an interactive transaction")
    .option("--sql <statement>", "A statement to analyse instead of --effect and --tables")
    .option("--file <file>", "Use the rules of a file instead of the stored ones");
}

function addGlobalOptions(cli: CAC): void {
  cli.option("--platform <url>", "The URL of the platform's service; default: RADISHWALK_PLATFORM");
  cli.option("--proxy <address>", "A proxy's health address, used instead of the platform's list");
  cli.option("--health-offset <ports>", "Difference of health port and peer port; default: 2000");
  cli.option("--json", "Print JSON");
  cli.help((sections) => [...sections, { title: "Exit codes", body: exitCodeHelp }]);
}

function createAction(createContext: ContextFactory, run: CommandRunner) {
  return async (...values: readonly unknown[]): Promise<ExitCode> => {
    const flags = values.at(-1) as AnyFlags;
    const argument = values.length > 1 ? String(values[0]) : "";
    const context = createContext(flags);
    try {
      return await run(context, flags, argument);
    } finally {
      await context.dispose();
    }
  };
}
