import { spawn, type ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { Disposable } from "../../src/model/index.js";

/** A line of a program's standard output, parsed as JSON; other text gives `{ name: "text", text }`. */
export interface LogLine {
  readonly name: string;
  readonly [field: string]: unknown;
}

/** The exit code of a process, or the signal that ended it. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

type Listener = (line: LogLine) => void;

const maxLines = 100_000;
const stopTimeoutMs = 8000;

/** A started program. Signals go to its process id only, never to a process group. */
export class Child {
  readonly lines: LogLine[] = [];
  readonly ended: Promise<ProcessExit>;
  private readonly listeners = new Set<Listener>();
  private exit: ProcessExit | undefined;

  constructor(
    readonly name: string,
    readonly process: ChildProcess,
  ) {
    this.ended = new Promise((resolve) => {
      process.once("close", (code, signal) => {
        this.exit = { code, signal };
        resolve(this.exit);
      });
    });
    if (process.stdout === null) return;
    createInterface({ input: process.stdout }).on("line", (text) => {
      this.handleLine(text);
    });
  }

  /** The process id. */
  get id(): number {
    const { pid } = this.process;
    if (pid === undefined) throw new Error(`${this.name} did not start`);
    return pid;
  }

  get isRunning(): boolean {
    return this.exit === undefined;
  }

  /** Calls `listener` with each further line. */
  onLine(listener: Listener): void {
    this.listeners.add(listener);
  }

  /** Sends a signal unless the process has ended, as its id may have been reused by then. */
  send(signal: NodeJS.Signals): void {
    if (this.isRunning) this.process.kill(signal);
  }

  /** Resumes a paused process and sends SIGTERM, then SIGKILL after `stopTimeoutMs`. */
  async stop(): Promise<void> {
    this.send("SIGCONT");
    this.send("SIGTERM");
    const timer = setTimeout(() => {
      this.send("SIGKILL");
    }, stopTimeoutMs);
    await this.ended;
    clearTimeout(timer);
  }

  /** Resolves with the first line, past or future, that matches. Rejects when the process ends first. */
  async waitForLine(matches: (line: LogLine) => boolean): Promise<LogLine> {
    const seen = this.lines.find(matches);
    if (seen !== undefined) return seen;
    return new Promise((resolve, reject) => {
      const listener: Listener = (line) => {
        if (!matches(line)) return;
        this.listeners.delete(listener);
        resolve(line);
      };
      this.listeners.add(listener);
      void this.ended.then(({ code }) => {
        const last = JSON.stringify(this.lines.at(-1));
        reject(new Error(`${this.name} exited with ${code ?? "a signal"}; its last line: ${last}`));
      });
    });
  }

  private handleLine(text: string): void {
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
 * Programs that this process starts. If this process ends without disposing of them, even by SIGKILL,
 * its pipe to the guard process closes and the guard kills them.
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
    const path = resolveBuiltPath(script);
    return this.add(
      name,
      spawn(process.execPath, [...flags, path, ...args], { stdio: ["ignore", "pipe", "inherit"] }),
    );
  }

  /** Starts a program by its path, with only these environment variables besides PATH; it can receive messages. */
  startProgram(
    name: string,
    path: string,
    args: readonly string[],
    environment: Readonly<Record<string, string>>,
  ): Child {
    const env = { PATH: process.env.PATH, ...environment };
    return this.add(
      name,
      spawn(process.execPath, [path, ...args], {
        stdio: ["ignore", "pipe", "inherit", "ipc"],
        env,
      }),
    );
  }

  /** Starts a built program that exchanges messages with this process. */
  startWithMessages(name: string, script: string): Child {
    return this.add(
      name,
      spawn(process.execPath, [resolveBuiltPath(script)], {
        stdio: ["ignore", "pipe", "inherit", "ipc"],
      }),
    );
  }

  private add(name: string, process_: ChildProcess): Child {
    const child = new Child(name, process_);
    this.started.push(child);
    this.registerWithGuard(child);
    return child;
  }

  /** Ends all programs at once, without letting them finish. */
  killAll(): void {
    for (const child of this.started) child.send("SIGKILL");
  }

  /** Stops all programs, in reverse order of their start. */
  async dispose(): Promise<void> {
    for (let child = this.started.pop(); child !== undefined; child = this.started.pop()) {
      await child.stop();
    }
    this.guard?.stdin?.end();
    this.guard = undefined;
  }

  private registerWithGuard(child: Child): void {
    this.guard ??= startGuard();
    const { stdin } = this.guard;
    stdin?.write(`+${child.id}\n`);
    void child.ended.then(() => {
      if (stdin?.writable === true) stdin.write(`-${child.id}\n`);
    });
  }
}

function startGuard(): ChildProcess {
  const guard = spawn(process.execPath, [resolveBuiltPath("./guard.js")], {
    stdio: ["pipe", "ignore", "inherit"],
    detached: true,
  });
  guard.unref();
  return guard;
}

/** Returns the path of a built program. Tests run from the sources, but start the programs in `dist`. */
export function resolveBuiltPath(script: string): string {
  const ownFolder = new URL(".", import.meta.url).href;
  const isBuilt = ownFolder.endsWith("/dist/standin/processes/");
  const base = isBuilt ? ownFolder : new URL("../../dist/standin/processes/", ownFolder).href;
  return fileURLToPath(new URL(script, base));
}
