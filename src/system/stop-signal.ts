const stopSignals = ["SIGTERM", "SIGINT"] as const;

/**
 * Calls `stop` at the first signal that asks the process to end. Later ones are ignored: without a listener, a second
 * one would kill the process and cut off the requests that it drains.
 */
export function stopOnSignal(stop: () => void): void {
  let isStopping = false;
  const handle = () => {
    if (isStopping) return;
    isStopping = true;
    stop();
  };
  for (const signal of stopSignals) process.on(signal, handle);
}
