import type { Vm } from "../model/index.js";
import { ClientStream, type StreamOptions } from "./client-stream.js";
import type { PeerConnection, PeerConnections } from "./connections.js";

const maxIdleStreams = 64;
const idleMs = 5000;

/**
 * Keeps streams that have answered, for the next conversation: opening one costs several times as
 * much as a request. A stream is used again only while its connection gives signs of life, since a
 * batch sent into a silent one would end as "may have run".
 */
export class StreamPool {
  private readonly idle = new WeakMap<PeerConnection, ClientStream[]>();

  constructor(
    private readonly links: PeerConnections,
    private readonly options: StreamOptions,
  ) {}

  /** A stream to a VM that no conversation uses. */
  async acquire(vm: Vm): Promise<ClientStream> {
    const link = this.links.get(vm.peer);
    const streams = this.idle.get(link) ?? [];
    for (let stream = streams.pop(); stream !== undefined; stream = streams.pop()) {
      stream.stopIdleTimer();
      if (stream.isUsable && (await link.session.isAlive())) return stream;
      stream.finish();
    }
    return new ClientStream(link, this.options);
  }

  /** Takes a stream back whose conversation is over. */
  release(stream: ClientStream): void {
    const streams = this.idle.get(stream.connection) ?? [];
    if (!stream.isUsable || streams.length >= maxIdleStreams) {
      stream.finish();
      return;
    }
    this.idle.set(stream.connection, streams);
    streams.push(stream);
    stream.startIdleTimer(idleMs, () => {
      const at = streams.indexOf(stream);
      if (at >= 0) streams.splice(at, 1);
    });
  }
}
