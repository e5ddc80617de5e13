import type { Client } from "@connectrpc/connect";
import type {
  Json,
  PeerCheck,
  PeerClient,
  PeerHello,
  ProbeResult,
  StoreRead,
  Vm,
} from "../model/index.js";
import { decodeHello, encodeHello, encodeVm } from "./codec.js";
import { decodeControlResult } from "./codec-status.js";
import type { Hello, Peer } from "./gen/radishwalk/peer/v1/peer_pb.js";
import type { PeerConnections } from "./connections.js";

/** Options of a `ConnectPeerClient`. */
export interface PeerClientOptions {
  readonly connections: PeerConnections;
  readonly getHello: () => PeerHello;
  readonly onHello?: (hello: PeerHello) => void;
}

/** Added to the timeout of a call that the peer performs itself, for the round trip to that peer. */
const peerOverheadMs = 200;

/**
 * Calls other proxies through connect-es. After a failed call the next one uses a new connection, so
 * that a connection that no longer responds fails one call only. Other calls on the old one continue.
 */
export class ConnectPeerClient implements PeerClient {
  constructor(private readonly options: PeerClientOptions) {}

  async probe(vm: Vm, hello: PeerHello, timeoutMs: number): Promise<ProbeResult> {
    return this.call<ProbeResult>(vm, toSilent, async (client) => {
      const response = await client.probe({ hello: encodeHello(hello) }, { timeoutMs });
      return { type: "answered", hello: this.receiveHello(response.hello) };
    });
  }

  async probeThrough(via: Vm, vm: Vm, hello: PeerHello, timeoutMs: number): Promise<ProbeResult> {
    return this.call<ProbeResult>(via, toSilent, async (client) => {
      const request = { hello: encodeHello(hello), vm: encodeVm(vm), timeoutMs };
      const response = await client.probeThrough(request, {
        timeoutMs: timeoutMs + peerOverheadMs,
      });
      this.receiveHello(response.hello);
      const { result } = response;
      return result.case === "answered"
        ? { type: "answered", hello: decodeHello(result.value) }
        : { type: "silent", reason: result.value ?? "no result" };
    });
  }

  async checkTarget(via: Vm, group: string, target: string, timeoutMs: number): Promise<PeerCheck> {
    return this.call<PeerCheck>(via, toSilent, async (client) => {
      const request = { hello: this.encodeOwnHello(), group, target, timeoutMs };
      const response = await client.checkTarget(request, { timeoutMs: timeoutMs + peerOverheadMs });
      this.receiveHello(response.hello);
      return decodeControlResult(response);
    });
  }

  async fetchConfiguration(
    vm: Vm,
    afterRevision: number,
    timeoutMs: number,
  ): Promise<StoreRead<Json>> {
    return this.call<StoreRead<Json>>(vm, toUnavailable, async (client) => {
      const request = { hello: this.encodeOwnHello(), afterRevision };
      const response = await client.fetchConfiguration(request, { timeoutMs });
      this.receiveHello(response.hello);
      const { result } = response;
      switch (result.case) {
        case "foundJson":
          return { type: "found", value: JSON.parse(result.value) as Json };
        case "absent":
          return { type: "absent" };
        case "unavailable":
        case undefined:
          return toUnavailable(result.value ?? "no result");
      }
    });
  }

  async pushConfiguration(
    vm: Vm,
    configuration: Json,
    timeoutMs: number,
  ): Promise<StoreRead<number>> {
    return this.call<StoreRead<number>>(vm, toUnavailable, async (client) => {
      const configurationJson = JSON.stringify(configuration);
      const request = { hello: this.encodeOwnHello(), configurationJson };
      const response = await client.pushConfiguration(request, { timeoutMs });
      this.receiveHello(response.hello);
      return { type: "found", value: response.revision };
    });
  }

  /** Sends a peer the changed state of this process. */
  async announce(vm: Vm, hello: PeerHello, timeoutMs: number): Promise<ProbeResult> {
    return this.call<ProbeResult>(vm, toSilent, async (client) => {
      const response = await client.announce({ hello: encodeHello(hello) }, { timeoutMs });
      return { type: "answered", hello: this.receiveHello(response.hello) };
    });
  }

  /** Fetches the status that a peer reports to operators. */
  async fetchReport(vm: Vm, timeoutMs: number): Promise<StoreRead<Json>> {
    return this.call<StoreRead<Json>>(vm, toUnavailable, async (client) => {
      const response = await client.report({ hello: this.encodeOwnHello() }, { timeoutMs });
      this.receiveHello(response.hello);
      return { type: "found", value: JSON.parse(response.statusJson) as Json };
    });
  }

  private async call<R>(
    vm: Vm,
    toFailure: (reason: string) => R,
    send: (client: Client<typeof Peer>) => Promise<R>,
  ): Promise<R> {
    try {
      return await send(this.options.connections.get(vm.peer).client);
    } catch (error) {
      this.options.connections.replace(vm.peer);
      return toFailure(error instanceof Error ? error.message : String(error));
    }
  }

  private encodeOwnHello(): Hello {
    return encodeHello(this.options.getHello());
  }

  private receiveHello(message: Hello | undefined): PeerHello {
    const hello = decodeHello(message);
    this.options.onHello?.(hello);
    return hello;
  }
}

function toSilent(reason: string): { readonly type: "silent"; readonly reason: string } {
  return { type: "silent", reason };
}

function toUnavailable(reason: string): { readonly type: "unavailable"; readonly reason: string } {
  return { type: "unavailable", reason };
}
