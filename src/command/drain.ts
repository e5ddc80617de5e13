import { printResult, type CommandContext } from "./context.js";
import { UnavailableError, UsageError } from "./errors.js";
import { exitCodes, type ExitCode } from "./exit-codes.js";
import { listProxyEndpoints, type ProxyEndpoint } from "./endpoints.js";

/** Asks one proxy to drain: it finishes its requests in flight and exits. */
export async function runDrain(context: CommandContext, vm: string): Promise<ExitCode> {
  const endpoint = await findEndpointByVm(context, vm);
  if (endpoint === undefined) throw new UsageError(`VM ${vm} is not known`);
  if (!(await context.proxies.requestDrain(endpoint.health))) {
    throw new UnavailableError(`${vm} is unreachable, or can't be drained over HTTP`);
  }
  printResult(context, { vm, state: "draining" }, `${vm} is draining`);
  return exitCodes.done;
}

async function findEndpointByVm(
  context: CommandContext,
  vm: string,
): Promise<ProxyEndpoint | undefined> {
  const endpoints = await listProxyEndpoints(context);
  const listed = endpoints.find(({ name }) => name === vm);
  if (listed !== undefined || context.givenProxies.length === 0) return listed;
  const summaries = await Promise.all(
    endpoints.map(({ health }) => context.proxies.readSummary(health)),
  );
  return endpoints[summaries.findIndex((summary) => summary?.vm === vm)];
}
