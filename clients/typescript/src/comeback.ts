// When a client that lost its connection comes back, and when a refused call is offered again. The same rules as those of
// the Rust client: a wait that was told is kept, the rest is jittered and grows, repeated offers are paid for.

export interface ComeBackPlan {
  /** The wait after the first failure, doubled with each up to the last; drawn from the upper half. Milliseconds. */
  first: number;
  last: number;
  /** A connection that held for so long makes the failures before it forgotten. */
  steady: number;
}

export class ComeBack {
  #failures = 0;
  #opened: number | undefined;
  #lost: number | undefined;

  constructor(
    readonly plan: ComeBackPlan = { first: 100, last: 10_000, steady: 10_000 },
    readonly random: () => number = Math.random,
  ) {}

  opened(now: number): void {
    this.#opened = now;
    this.#lost = undefined;
  }

  /**
   * The connection is lost, or was not to be had. Returns how long to wait; `told`: what the server asked for; `kept`: how long
   * it keeps the session.
   */
  failed(now: number, told = 0, kept = 0): number {
    this.#lost ??= now;
    if (this.#opened !== undefined && now - this.#opened >= this.plan.steady) this.#failures = 0;
    this.#opened = undefined;
    let grown = Math.min(this.plan.first * 2 ** Math.min(this.#failures, 16), this.plan.last);
    // Guards against coming back to a session that is over.
    if (now < this.#lost + kept) grown = Math.min(grown, kept / 4);
    this.#failures += 1;
    return told + grown * (0.5 + 0.5 * this.random());
  }
}

/** What a client may offer again before any first offer has earned it: as much as the controller starts with. */
const SAVED_AT_START = 2;

export interface RedialPlan {
  /** Offers of one call, the first among them. */
  offers: number;
  /** The wait before the second, doubled with each further one. Milliseconds. */
  first: number;
  /** What each first offer earns towards a second, and how much may be saved up. */
  earned: number;
  mostSaved: number;
  /** A call that could not stand in less is not offered again. */
  leastLeft: number;
}

export class Redial {
  #saved: number;

  constructor(
    readonly plan: RedialPlan = { offers: 3, first: 250, earned: 0.1, mostSaved: 10, leastLeft: 300 },
    readonly random: () => number = Math.random,
  ) {
    this.#saved = Math.min(plan.mostSaved, SAVED_AT_START);
  }

  firstOffer(): void {
    this.#saved = Math.min(this.#saved + this.plan.earned, this.plan.mostSaved);
  }

  /** How long to wait before a call is offered again, after so many offers; undefined: not again. */
  again(left: number, offers: number, told = 0): number | undefined {
    if (offers >= this.plan.offers) return undefined;
    const grown = this.plan.first * 2 ** Math.min(offers - 1, 16);
    // All callers are told alike: they spread behind what they were told.
    const wait = told + grown * (0.5 + 0.5 * this.random());
    if (wait + this.plan.leastLeft > left || this.#saved < 1) return undefined;
    this.#saved -= 1;
    return wait;
  }
}
