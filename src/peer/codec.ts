import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { Mark, PeerHello, Term, Vm } from "../model/index.js";
import {
  type Hello,
  HelloSchema,
  type Mark as MarkMessage,
  MarkSchema,
  State,
  type Term as TermMessage,
  TermSchema,
  type Vm as VmMessage,
  VmSchema,
} from "./gen/radishwalk/peer/v1/peer_pb.js";

const states = {
  starting: State.STARTING,
  ready: State.READY,
  leaving: State.LEAVING,
} as const;

/** Two-way mapping between words of the model and numbers of the protocol. */
export function findKey<W extends string, N extends number>(
  words: Readonly<Record<W, N>>,
  value: number,
): W {
  const found = Object.entries(words).find(([, known]) => known === value);
  if (found === undefined) throw createMalformedError(`unknown value ${value}`);
  return found[0] as W;
}

/** A message that no peer of this version sends. */
export function createMalformedError(what: string): ConnectError {
  return new ConnectError(`malformed message: ${what}`, Code.InvalidArgument);
}

/** The part of a message that must be there. */
export function requireField<T>(part: T | undefined, name: string): T {
  if (part === undefined) throw createMalformedError(`no ${name}`);
  return part;
}

/** Builds a hello. */
export function encodeHello(hello: PeerHello): Hello {
  return create(HelloSchema, { ...hello, state: states[hello.state] });
}

/** Reads a hello. Throws `ConnectError`. */
export function decodeHello(message: Hello | undefined): PeerHello {
  const { vm, incarnation, state, revision } = requireField(message, "hello");
  return { vm, incarnation, state: findKey(states, state), revision };
}

/** Builds a term. */
export function encodeTerm(term: Term): TermMessage {
  return create(TermSchema, term);
}

/** Reads a term. */
export function decodeTerm(message: TermMessage | undefined): Term {
  const { round, vm } = requireField(message, "term");
  return { round, vm };
}

/** Builds a mark. */
export function encodeMark(mark: Mark): MarkMessage {
  return create(MarkSchema, { term: encodeTerm(mark.term), offset: mark.offset });
}

/** Reads a mark. */
export function decodeMark(message: MarkMessage): Mark {
  return { term: decodeTerm(message.term), offset: message.offset };
}

/** Builds a VM's address. */
export function encodeVm(vm: Vm): VmMessage {
  const init: MessageInitShape<typeof VmSchema> = {
    name: vm.name,
    dataCentre: vm.dataCentre,
    host: vm.peer.host,
    port: vm.peer.port,
    leaving: vm.state === "leaving",
  };
  return create(VmSchema, init);
}

/** Reads a VM's address. */
export function decodeVm(message: VmMessage): Vm {
  const { name, dataCentre, host, port, leaving } = message;
  return { name, dataCentre, peer: { host, port }, state: leaving ? "leaving" : "live" };
}
