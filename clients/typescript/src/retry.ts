// When to reconnect after a lost or rejected connection, and when to offer a refused call again. The rules of the Rust client
// (crates/limits/src/retry.rs): a wait that the server asked for is kept, the client's own back-off is jittered and grows with
// each failure, and repeated offers are paid for from a capped credit that first offers earn.

/** Back-off of connection attempts. All values in milliseconds. */
export interface ComeBackPlan {
  /** Delay after the first failure. It doubles with each further failure up to `last`; the delay used is drawn from the upper half. */
  first: number;
  /** Maximum delay. */
  last: number;
  /** A connection that was open for this long resets the count of failures. */
  steady: number;
}

export class ComeBack {
  #failures = 0;
  #openedAt: number | undefined;
  /** When the last open connection was lost; without one, when the first attempt failed. */
  #lostAt: number | undefined;

  constructor(
    readonly plan: ComeBackPlan = { first: 100, last: 10_000, steady: 10_000 },
    readonly random: () => number = Math.random,
  ) {}

  /** The connection is open. */
  opened(now: number): void {
    this.#openedAt = now;
    this.#lostAt = undefined;
  }

  /**
   * The connection was lost, or the attempt failed. `retryAfter`: the wait that the server asked for. `sessionKept`: how long the
   * server keeps the session of the connection. Returns how long to wait. All values in milliseconds.
   */
  failed(now: number, retryAfter = 0, sessionKept = 0): number {
    this.#lostAt ??= now;
    if (this.#openedAt !== undefined && now - this.#openedAt >= this.plan.steady) this.#failures = 0;
    this.#openedAt = undefined;
    let delay = Math.min(this.plan.first * 2 ** Math.min(this.#failures, 16), this.plan.last);
    // Several attempts fit into the time that the session is kept, so that it can be resumed before it ends.
    if (now < this.#lostAt + sessionKept) delay = Math.min(delay, sessionKept / 4);
    this.#failures += 1;
    // Clients that were asked for the same wait would return together, so the jittered delay is added to it.
    return retryAfter + delay * (0.5 + 0.5 * this.random());
  }
}

/** Repeated offers that a client may make before first offers have earned any credit. The controller starts with the same credit. */
const INITIAL_CREDIT = 2;

/** Limits on offering a refused or failed call again. */
export interface RedialPlan {
  /** Offers of one call, including the first. */
  offers: number;
  /** Delay before the second offer. It doubles with each further offer. Milliseconds. */
  first: number;
  /** Credit that each first offer earns; a repeated offer costs 1. */
  earned: number;
  /** Credit that may be saved up. */
  mostSaved: number;
  /** A call is not offered again if its caller would have less time left than this. Milliseconds. */
  leastLeft: number;
}

export class Redial {
  #credit: number;

  constructor(
    readonly plan: RedialPlan = { offers: 3, first: 250, earned: 0.1, mostSaved: 10, leastLeft: 300 },
    readonly random: () => number = Math.random,
  ) {
    this.#credit = Math.min(plan.mostSaved, INITIAL_CREDIT);
  }

  /** A call is offered for the first time. */
  firstOffer(): void {
    this.#credit = Math.min(this.#credit + this.plan.earned, this.plan.mostSaved);
  }

  /**
   * A call was refused or failed after `offers` offers, and its caller gives up in `left`. `retryAfter`: the wait that the server
   * asked for. Returns how long to wait before the call is offered again, and takes the credit for it; undefined: the call is not
   * offered again. All times in milliseconds.
   */
  again(left: number, offers: number, retryAfter = 0): number | undefined {
    if (offers >= this.plan.offers) return undefined;
    const delay = this.plan.first * 2 ** Math.min(offers - 1, 16);
    // The server asks all callers for similar waits, so the jittered delay is added.
    const wait = retryAfter + delay * (0.5 + 0.5 * this.random());
    if (wait + this.plan.leastLeft > left || this.#credit < 1) return undefined;
    this.#credit -= 1;
    return wait;
  }
}
