import { spawn, type ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { Disposable } from "../../src/model/index.js";

/** One line of a program's standard output. */
export interface LogLine {
  readonly name: string;
  readonly [field: string]: unknown;
}

/** How a process ended. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

type Listener = (line: LogLine) => void;

const maxLines = 100_000;
const stopMs = 8000;

/** A started program; signals go to its process id alone. */
export class Child {
  readonly lines: LogLine[] = [];
  readonly ended: Promise<ProcessExit>;
  private readonly listeners = new Set<Listener>();
  private ending: ProcessExit | undefined;

  constructor(
    readonly name: string,
    readonly process: ChildProcess,
  ) {
    this.ended = new Promise((resolve) => {
      process.once("close", (code, signal) => {
        this.ending = { code, signal };
        resolve(this.ending);
      });
    });
    if (process.stdout === null) return;
    createInterface({ input: process.stdout }).on("line", (text) => {
      this.hear(text);
    });
  }

  /** The process id. */
  get id(): number {
    const { pid } = this.process;
    if (pid === undefined) throw new Error(`${this.name} did not start`);
    return pid;
  }

  get isRunning(): boolean {
    return this.ending === undefined;
  }

  /** Sends a signal, unless the process has ended and its id may be another's. */
  send(signal: NodeJS.Signals): void {
    if (this.isRunning) this.process.kill(signal);
  }

  /** Asks the process to end and kills it when it doesn't within a while. */
  async stop(): Promise<void> {
    this.send("SIGCONT");
    this.send("SIGTERM");
    const timer = setTimeout(() => {
      this.send("SIGKILL");
    }, stopMs);
    await this.ended;
    clearTimeout(timer);
  }

  /** Resolves with the first line, past or to come, that fits. Rejects when the process ends. */
  async waitForLine(fits: (line: LogLine) => boolean): Promise<LogLine> {
    const known = this.lines.find(fits);
    if (known !== undefined) return known;
    return new Promise((resolve, reject) => {
      const listener: Listener = (line) => {
        if (!fits(line)) return;
        this.listeners.delete(listener);
        resolve(line);
      };
      this.listeners.add(listener);
      void this.ended.then(({ code }) => {
        const last = JSON.stringify(this.lines.at(-1));
        reject(new Error(`${this.name} ended with ${code ?? "a signal"}: ${last}`));
      });
    });
  }

  private hear(text: string): void {
    const line = parseLine(text);
    if (this.lines.length < maxLines) this.lines.push(line);
    for (const listener of this.listeners) listener(line);
  }
}

function parseLine(text: string): LogLine {
  try {
    return JSON.parse(text) as LogLine;
  } catch {
    return { name: "text", text };
  }
}

/**
 * Programs that this process starts. Should it die without disposing of them, by SIGKILL too, the
 * guard sees its pipe close and kills them: the pipe closes however a process ends.
 */
export class Children implements Disposable {
  private readonly started: Child[] = [];
  private guard: ChildProcess | undefined;

  /** Starts a built program; `script` is relative to this folder. */
  start(
    name: string,
    script: string,
    args: readonly string[],
    flags: readonly string[] = [],
  ): Child {
    const path = locate(script);
    const process_ = spawn(process.execPath, [...flags, path, ...args], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    const child = new Child(name, process_);
    this.started.push(child);
    this.watch(child);
    return child;
  }

  /** Ends all, those started last first. */
  async dispose(): Promise<void> {
    for (let child = this.started.pop(); child !== undefined; child = this.started.pop()) {
      await child.stop();
    }
    this.guard?.stdin?.end();
    this.guard = undefined;
  }

  private watch(child: Child): void {
    this.guard ??= startGuard();
    const { stdin } = this.guard;
    stdin?.write(`+${child.id}\n`);
    void child.ended.then(() => {
      if (stdin?.writable === true) stdin.write(`-${child.id}\n`);
    });
  }
}

function startGuard(): ChildProcess {
  const guard = spawn(process.execPath, [locate("./guard.js")], {
    stdio: ["pipe", "ignore", "inherit"],
    detached: true,
  });
  guard.unref();
  return guard;
}

/** Tests run from the sources: what they start is the built program of the same place. */
function locate(script: string): string {
  const here = new URL(".", import.meta.url).href;
  const isBuilt = here.endsWith("/dist/standin/processes/");
  const base = isBuilt ? here : new URL("../../dist/standin/processes/", here).href;
  return fileURLToPath(new URL(script, base));
}
