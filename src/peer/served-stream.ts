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

/** The server side of one stream, at the group's owner. Runs its batches one after another. */
export class ServedStream {
  private readonly responses = new AsyncQueue<ConverseResponse>((response) =>
    this.answer.recordSent(response.answer.length),
  );
  private readonly answer = new AnswerBuffer((chunk) => this.send({ answer: chunk }));
  private conversation: Conversation | undefined;
  private runningBatch: Promise<void> | undefined;
  private abortController: AbortController | undefined;

  constructor(
    private readonly handlers: PeerHandlers,
    private readonly clock: Pick<Clock, "now">,
    signal: AbortSignal,
  ) {
    signal.addEventListener("abort", () => this.handleAbort(), { once: true });
  }

  /** Serves the requests until the peer ends the stream or the stream fails. */
  serve(requests: AsyncIterable<ConverseRequest>): AsyncIterable<ConverseResponse> {
    void this.readRequests(requests);
    return this.responses;
  }

  private async readRequests(requests: AsyncIterable<ConverseRequest>): Promise<void> {
    try {
      for await (const request of requests) this.handleRequest(request);
      await this.runningBatch;
    } catch {
      // The stream failed or the peer sent a malformed message. Either way the stream is closed.
    }
    this.close();
  }

  private handleRequest({ hello, run }: ConverseRequest): void {
    this.handlers.onHello(decodeHello(hello));
    if (this.runningBatch !== undefined)
      throw createMalformedError("a batch before the response to the previous one");
    this.runningBatch = this.run(requireField(run, "batch"))
      .catch(() => this.close())
      .finally(() => (this.runningBatch = undefined));
  }

  private async run(run: Run): Promise<void> {
    const request = decodeRequest(requireField(run.request, "request"), this.clock.now());
    if (run.opens && !this.openConversation(request)) return;
    const outcome = await this.runBatch(request, run.messages);
    const isConversationOver = outcome.type === "failed" || outcome.status === "I";
    if (isConversationOver) this.closeConversation();
    const step = { case: "outcome", value: encodeOutcome(outcome) } as const;
    this.send({ answer: this.answer.takeRemaining(), step });
  }

  /** Opens a conversation and returns true, or sends a redirect and returns false. */
  private openConversation({ traits: { group } }: Request): boolean {
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
    if (this.conversation === undefined) return conversationLost;
    // Each batch has its own controller: listeners on the stream's signal would accumulate.
    this.abortController = new AbortController();
    return this.conversation.run(
      request,
      messages,
      this.answer.accept,
      this.abortController.signal,
    );
  }

  private send(response: MessageInitShape<typeof ConverseResponseSchema>): void {
    const hello = encodeHello(this.handlers.getHello());
    this.responses.push(create(ConverseResponseSchema, { ...response, hello }));
  }

  private closeConversation(): void {
    this.conversation?.close();
    this.conversation = undefined;
  }

  /** Handles the end of the connection or a cancelled call: unsent responses have no reader. */
  private handleAbort(): void {
    this.responses.discard();
    this.abortController?.abort(new Error("the peer cancelled the request"));
    this.close();
  }

  private close(): void {
    this.closeConversation();
    this.answer.close();
    this.responses.end();
  }
}

/** The outcome of a batch whose transaction has already been rolled back. */
const conversationLost: Outcome = {
  type: "failed",
  verdict: { type: "notRun", reason: "superseded", retryAfterMs: 0 },
  message: "the transaction has ended at the group's owner",
};
