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

/** Opens what a command works on. */
export type ContextFactory = (flags: Flags) => CommandContext & Disposable;

/** The flags of all commands: the parser lets a command have only its own. */
type AnyFlags = Flags & ApplyFlags & ExplainFlags & GetFlags;

type CommandRunner = (
  context: CommandContext,
  flags: AnyFlags,
  argument: string,
) => Promise<ExitCode>;

const defaultWaitSeconds = 10;

/**
 * Runs the command that `argv` names, as in `process.argv`, and gives the exit code. Errors go to
 * `printError`, as JSON with `--json`.
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
  const on = (command: Command, run: CommandRunner) =>
    command.action(createAction(createContext, run));

  on(
    cli
      .command("apply <file>", "Apply teams and rules; wait until they are in force everywhere")
      .option("--base <revision>", "The revision that the file was edited from, if it does not say")
      .option("--wait <seconds>", "How long to wait for all proxies", {
        default: defaultWaitSeconds,
      }),
    (context, flags, file) => runApply(context, file, flags),
  );
  on(
    cli
      .command("get", "Print the teams and rules in force, to be edited and applied")
      .option("--output <file>", "Write them to a file"),
    (context, flags) => runGet(context, flags),
  );
  on(cli.command("diff <file>", "Show what applying a file would change"), (context, _, file) =>
    runDiff(context, file),
  );
  on(addExplainOptions(cli), (context, flags) => runExplain(context, flags));
  on(cli.command("status", "Show proxies, revisions, groups, owners and targets"), (context) =>
    runStatus(context),
  );
  on(cli.command("drain <vm>", "Ask a proxy to finish what it has and end"), (context, _, vm) =>
    runDrain(context, vm),
  );
  on(cli.command("check <file>", "Check a file of teams and rules"), (context, _, file) =>
    runCheck(context, file),
  );
  addGlobalOptions(cli);
  return cli;
}

function addExplainOptions(cli: CAC): Command {
  return cli
    .command("explain", "Tell which rule a request meets, and why")
    .option("--team <name>", "The caller's team")
    .option("--group <name>", "The database group")
    .option("--kind <kind>", "The caller's own word for the request")
    .option("--effect <effect>", "read or write; write unless given")
    .option("--tables <names>", "Tables, with commas between")
    .option("--transaction", "Inside an interactive transaction")
    .option("--sql <statement>", "A statement, in place of --effect and --tables")
    .option("--file <file>", "Rules of a file, in place of those in force");
}

function addGlobalOptions(cli: CAC): void {
  cli.option("--platform <url>", "The platform's service; or RADISHWALK_PLATFORM");
  cli.option("--proxy <address>", "A proxy's health address, in place of the platform's list");
  cli.option("--health-offset <ports>", "Health port above the peer port (2000)");
  cli.option("--json", "Print JSON");
  cli.help((sections) => [...sections, { title: "Exit codes", body: exitCodeHelp }]);
}

function createAction(createContext: ContextFactory, run: CommandRunner) {
  return async (...given: readonly unknown[]): Promise<ExitCode> => {
    const flags = given.at(-1) as AnyFlags;
    const argument = given.length > 1 ? String(given[0]) : "";
    const context = createContext(flags);
    try {
      return await run(context, flags, argument);
    } finally {
      await context.dispose();
    }
  };
}
