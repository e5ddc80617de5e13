import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { Clock, Conversation, Outcome, Request } from "../model/index.js";
import { AnswerBuffer } from "./answer-buffer.js";
import { decodeHello, requireField, encodeHello, encodeVm, createMalformedError } from "./codec.js";
import { encodeOutcome } from "./codec-outcome.js";
import { decodeRequest } from "./codec-request.js";
import {
  type ConverseRequest,
  type ConverseResponse,
  ConverseResponseSchema,
  type Run,
} from "./gen/radishwalk/peer/v1/peer_pb.js";
import type { PeerHandlers } from "./handlers.js";
import { AsyncQueue } from "./queue.js";

/** The owner's end of one stream: runs its batches, one after the other. */
export class ServedStream {
  private readonly responses = new AsyncQueue<ConverseResponse>((response) =>
    this.answer.recordSent(response.answer.length),
  );
  private readonly answer = new AnswerBuffer((chunk) => this.send({ answer: chunk }));
  private conversation: Conversation | undefined;
  private running: Promise<void> | undefined;
  private abort: AbortController | undefined;

  constructor(
    private readonly handlers: PeerHandlers,
    private readonly clock: Pick<Clock, "now">,
    signal: AbortSignal,
  ) {
    signal.addEventListener("abort", () => this.abandon(), { once: true });
  }

  /** Serves the requests until the peer ends or breaks them. */
  serve(requests: AsyncIterable<ConverseRequest>): AsyncIterable<ConverseResponse> {
    void this.read(requests);
    return this.responses;
  }

  private async read(requests: AsyncIterable<ConverseRequest>): Promise<void> {
    try {
      for await (const request of requests) this.take(request);
      await this.running;
    } catch {
      // The peer is gone or sends what can't be read; either way it gets no more here.
    }
    this.close();
  }

  private take({ hello, run }: ConverseRequest): void {
    this.handlers.onHello(decodeHello(hello));
    if (this.running !== undefined)
      throw createMalformedError("a batch before the answer to the last");
    this.running = this.run(requireField(run, "batch"))
      .catch(() => this.close())
      .finally(() => (this.running = undefined));
  }

  private async run(run: Run): Promise<void> {
    const request = decodeRequest(requireField(run.request, "request"), this.clock.now());
    if (run.opens && !this.open(request)) return;
    const outcome = await this.runBatch(request, run.messages);
    const isOver = outcome.type === "failed" || outcome.status === "I";
    if (isOver) this.closeConversation();
    const step = { case: "outcome", value: encodeOutcome(outcome) } as const;
    this.send({ answer: this.answer.takeRemaining(), step });
  }

  /** Opens a conversation, or tells who else serves the group. */
  private open({ traits: { group } }: Request): boolean {
    this.closeConversation();
    const choice = this.handlers.chooseOwner(group);
    switch (choice.type) {
      case "here":
        this.conversation = choice.gateway.open(group);
        return true;
      case "elsewhere": {
        const value = choice.owner === undefined ? {} : { owner: encodeVm(choice.owner) };
        this.send({ step: { case: "redirect", value } });
        return false;
      }
    }
  }

  private async runBatch(request: Request, messages: Uint8Array): Promise<Outcome> {
    if (this.conversation === undefined) return lostConversation;
    // One for each batch: listeners to the stream's own would add up over its life.
    this.abort = new AbortController();
    return this.conversation.run(request, messages, this.answer.accept, this.abort.signal);
  }

  private send(response: MessageInitShape<typeof ConverseResponseSchema>): void {
    const hello = encodeHello(this.handlers.getHello());
    this.responses.push(create(ConverseResponseSchema, { ...response, hello }));
  }

  private closeConversation(): void {
    this.conversation?.close();
    this.conversation = undefined;
  }

  /** The peer is gone: whatever is not sent yet has no reader. */
  private abandon(): void {
    this.responses.discard();
    this.abort?.abort(new Error("the peer gave the request up"));
    this.close();
  }

  private close(): void {
    this.closeConversation();
    this.answer.close();
    this.responses.end();
  }
}

/** A batch of a transaction that is rolled back already. */
const lostConversation: Outcome = {
  type: "failed",
  verdict: { type: "notRun", reason: "superseded", retryAfterMs: 0 },
  message: "the transaction has ended at the group's owner",
};
