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

/**
 * Returns the name in the model that stands for an enum number of the protocol. Throws `ConnectError`
 * when the number is unknown.
 */
export function findKey<K extends string, N extends number>(
  numbers: Readonly<Record<K, N>>,
  value: number,
): K {
  const found = Object.entries(numbers).find(([, known]) => known === value);
  if (found === undefined) throw createMalformedError(`unknown enum value ${value}`);
  return found[0] as K;
}

/** Creates the error for a message that violates the protocol. */
export function createMalformedError(what: string): ConnectError {
  return new ConnectError(`malformed message: ${what}`, Code.InvalidArgument);
}

/** Returns a required field of a message. Throws `ConnectError` when it is missing. */
export function requireField<T>(field: T | undefined, name: string): T {
  if (field === undefined) throw createMalformedError(`missing ${name}`);
  return field;
}

/** Converts a hello to its message. */
export function encodeHello(hello: PeerHello): Hello {
  return create(HelloSchema, { ...hello, state: states[hello.state] });
}

/** Converts a message to a hello. Throws `ConnectError` when it is missing or malformed. */
export function decodeHello(message: Hello | undefined): PeerHello {
  const { vm, incarnation, state, revision } = requireField(message, "hello");
  return { vm, incarnation, state: findKey(states, state), revision };
}

/** Converts a term to its message. */
export function encodeTerm(term: Term): TermMessage {
  return create(TermSchema, term);
}

/** Converts a message to a term. Throws `ConnectError` when it is missing. */
export function decodeTerm(message: TermMessage | undefined): Term {
  const { round, vm } = requireField(message, "term");
  return { round, vm };
}

/** Converts a mark to its message. */
export function encodeMark(mark: Mark): MarkMessage {
  return create(MarkSchema, { term: encodeTerm(mark.term), offset: mark.offset });
}

/** Converts a message to a mark. Throws `ConnectError` when it has no term. */
export function decodeMark(message: MarkMessage): Mark {
  return { term: decodeTerm(message.term), offset: message.offset };
}

/** Converts a VM to its message. */
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

/** Converts a message to a VM. */
export function decodeVm(message: VmMessage): Vm {
  const { name, dataCentre, host, port, leaving } = message;
  return { name, dataCentre, peer: { host, port }, state: leaving ? "leaving" : "live" };
}
