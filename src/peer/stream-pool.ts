import type { Vm } from "../model/index.js";
import { ClientStream, type StreamOptions } from "./client-stream.js";
import type { PeerConnection, PeerConnections } from "./connections.js";

const maxIdleStreams = 64;
const maxIdleMs = 5000;

/**
 * Keeps idle streams for later conversations, because opening a stream costs several times as much as
 * a request. A stream is reused only if its connection responds: a batch sent on an unresponsive
 * connection would end as "may have run".
 */
export class StreamPool {
  private readonly idleStreams = new WeakMap<PeerConnection, ClientStream[]>();

  constructor(
    private readonly connections: PeerConnections,
    private readonly options: StreamOptions,
  ) {}

  /** Returns a stream to a VM that no other conversation uses, either an idle or a new one. */
  async acquire(vm: Vm): Promise<ClientStream> {
    const connection = this.connections.get(vm.peer);
    const streams = this.idleStreams.get(connection) ?? [];
    for (let stream = streams.pop(); stream !== undefined; stream = streams.pop()) {
      stream.stopIdleTimer();
      if (stream.isUsable && (await connection.session.isAlive())) return stream;
      stream.finish();
    }
    return new ClientStream(connection, this.options);
  }

  /** Takes back a stream after its conversation; finishes it if it is unusable or the pool is full. */
  release(stream: ClientStream): void {
    const streams = this.idleStreams.get(stream.connection) ?? [];
    if (!stream.isUsable || streams.length >= maxIdleStreams) {
      stream.finish();
      return;
    }
    this.idleStreams.set(stream.connection, streams);
    streams.push(stream);
    stream.startIdleTimer(maxIdleMs, () => {
      const index = streams.indexOf(stream);
      if (index >= 0) streams.splice(index, 1);
    });
  }
}
