/** Requests for tokens that are under way, of which the first token ends the wait. */
export class TokenRequestRound {
  private readonly requests: Promise<void>[] = [];
  private onToken: () => void = () => undefined;

  constructor(readonly hasToken: () => boolean) {}

  add(request: Promise<void>): void {
    this.requests.push(
      request.then(() => {
        if (this.hasToken()) this.onToken();
      }),
    );
  }

  /** Waits until there is a token, every request has ended, or the time is over. */
  async wait(timeout: Promise<void>): Promise<void> {
    const token = new Promise<void>((resolve) => {
      this.onToken = resolve;
    });
    await Promise.race([token, Promise.all(this.requests), timeout]);
  }
}
