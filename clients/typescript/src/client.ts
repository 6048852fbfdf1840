// A session with a controller: reconnects, resumes and settles its calls as docs/call-control.md says. The rules of back-off
// and redial are in retry.ts.

import { ComeBack, Redial, type ComeBackPlan } from "./retry.js";
import {
  subprotocol,
  type Answered,
  type CallEvent,
  type CallState,
  type Methods,
  type Offer,
  type Traced,
  type Welcome,
} from "./messages.js";

/** The longest time for an attempt to connect, in milliseconds, unless `openWithin` is longer. */
const maxOpenWithin = 60_000;

export interface ClientOptions {
  /** `ws://host:port/calls`. */
  url: string;
  /** The client's name in the server's log. */
  name: string;
  token?: string;
  /** Back-off of connection attempts. */
  comeBack?: ComeBackPlan;
  /** By default the one of the platform. Node before 22 has none without a flag. */
  WebSocket?: new (url: string, protocols: string) => WebSocket;
  /**
   * Milliseconds that the handshake and the hello may take together. The time doubles, up to a minute, with each attempt
   * that was not completed in it.
   */
  openWithin?: number;
}

/** An offer without its call number, which the client sets. */
export type OfferWish = Omit<Offer, "call">;

/** The outcome of an offer. `lost`: the result is unknown, because the session has ended or no answer came in time. */
export type Outcome =
  | { answer: "stands"; call: number; exchangeCall: number }
  | { answer: "refused"; call: number; comeBackMs: number }
  | { answer: "fails"; call: number }
  | { answer: "lost"; call: number };

/**
 * What else happens on a session. `up`: the session is open; `takenUp`: it is the session of the previous connection. `down`: the
 * connection was lost, or the attempt failed; the client reconnects by itself. `denied`: the server rejected `session.hello`, and
 * the client is closed. `ended`: a standing call ended; `how` is undefined if that was during a disconnection.
 */
export type Happening =
  | { what: "up"; takenUp: boolean; welcome: Welcome }
  | { what: "down"; why: string }
  | { what: "denied"; why: string }
  | { what: "ended"; call: number; how: "hung_up" | "released" | "cut" | undefined }
  | { what: "news"; number: number; event: CallEvent }
  | { what: "missed"; count: number };

class RpcError extends Error {
  constructor(
    readonly code: number,
    message: string,
  ) {
    super(message);
  }
}

interface CallEntry {
  offer: OfferWish;
  /** When the caller gives up, by `Date.now()`. */
  deadline: number;
  /** `in doubt`: sent on a connection that was lost. */
  progress: "to send" | "sent" | "in doubt" | "stands";
  timer: ReturnType<typeof setTimeout>;
  resolve: (outcome: Outcome) => void;
  reject: (error: Error) => void;
}

interface PendingRequest {
  resolve: (result: unknown) => void;
  reject: (error: Error) => void;
}

/** Time after a caller's deadline in which the answer may still arrive. Then the call is reported as lost. */
const GRACE_MS = 1000;
const MAX_CALLS = 10_000;
/** Error code of an offer that exceeds a rate limit. */
const TOO_FAST = -32005;

export class Client {
  readonly #options: ClientOptions;
  readonly #backoff: ComeBack;
  readonly #calls = new Map<number, CallEntry>();
  readonly #pendingRequests = new Map<string, PendingRequest>();
  readonly #listeners = new Set<(event: Happening) => void>();
  #socket: WebSocket | undefined;
  #state: "disconnected" | "hello sent" | "open" | "closed" = "disconnected";
  /** The key that resumes the session at the server. */
  #sessionKey: string | undefined;
  /** How long the server keeps the session after a disconnection. Milliseconds. */
  #sessionKept = 0;
  /**
   * Set after the session was resumed, until its calls are reconciled: how many messages that the server kept during the
   * disconnection are still to come, and the calls that the server had in progress when it resumed the session.
   */
  #resuming: { remaining: number; atServer: Map<number, CallState> } | undefined;
  /** Number of the next news event, once subscribed. */
  #cursor: number | undefined;
  #watching = false;
  #lastCall = 0;
  #lastRequest = 0;
  /** For the next connection attempt, or for the handshake and the hello. */
  #timer: ReturnType<typeof setTimeout> | undefined;

  /** Attempts in a row that were not completed in time. */
  #lateOpenings = 0;

  /** Connects at once. */
  constructor(options: ClientOptions) {
    this.#options = options;
    this.#backoff = new ComeBack(options.comeBack);
    this.#connect();
  }

  /** Adds a listener for the events of the session. Returns a function that removes it. */
  on(listener: (event: Happening) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  get isOpen(): boolean {
    return this.#state === "open";
  }

  /** How many calls are in progress. */
  get calls(): number {
    return this.#calls.size;
  }

  /** Resolves once the session is open; rejects if the server denies it. */
  opened(): Promise<void> {
    if (this.isOpen) return Promise.resolve();
    return new Promise((resolve, reject) => {
      const removeListener = this.on((event) => {
        if (event.what === "up") resolve();
        else if (event.what === "denied") reject(new Error(event.why));
        else return;
        removeListener();
      });
    });
  }

  /**
   * Offers a call. Resolves with its final answer, or `lost`. While the session is not open, the offer is kept and then sent with
   * the time that is left.
   */
  call(offer: OfferWish): Promise<Outcome> {
    return this.start(offer).outcome;
  }

  /** Like `call`, but returns the call's number at once, for instance for `cancel`. */
  start(offer: OfferWish): { call: number; outcome: Promise<Outcome> } {
    const call = ++this.#lastCall;
    const outcome = new Promise<Outcome>((resolve, reject) => {
      if (this.#state === "closed") return reject(new Error("the session is closed"));
      if (this.#calls.size >= MAX_CALLS) return reject(new Error(`too many calls in progress: ${MAX_CALLS}`));
      const deadline = Date.now() + offer.time_left_ms;
      const timer = setTimeout(() => {
        // If the call stands at the server, the client would never learn of it.
        this.hangUp(call);
        resolve({ answer: "lost", call });
      }, offer.time_left_ms + GRACE_MS);
      this.#calls.set(call, { offer, deadline, progress: "to send", timer, resolve, reject });
      if (this.#state === "open" && !this.#resuming) this.#sendOffer(call);
    });
    return { call, outcome };
  }

  /**
   * Offers a call, and offers it again while it is refused or fails and the budget allows it: within the caller's time, and after
   * the wait that the server asked for.
   */
  async callPolitely(redial: Redial, offer: OfferWish): Promise<Outcome> {
    const deadline = Date.now() + offer.time_left_ms;
    redial.firstOffer();
    for (let offers = 1; ; offers += 1) {
      const left = deadline - Date.now();
      const outcome = await this.call({ ...offer, time_left_ms: Math.max(0, left), redial: offers > 1 });
      if (outcome.answer === "stands" || outcome.answer === "lost") return outcome;
      const retryAfter = outcome.answer === "refused" ? outcome.comeBackMs : 0;
      const delay = redial.again(deadline - Date.now(), offers, retryAfter);
      if (delay === undefined) return outcome;
      await new Promise((resolve) => setTimeout(resolve, delay));
    }
  }

  /** Ends a standing call, or gives up one that has no answer yet. */
  hangUp(call: number): void {
    void this.ask("call.hangup", { call }).catch(() => undefined);
    this.#remove(call);
  }

  /** Gives up a call that has no answer yet. It is still answered, with `fails`. Has no effect while the session is not open. */
  cancel(call: number): void {
    void this.ask("call.cancel", { call }).catch(() => undefined);
  }

  /** The state of a call. */
  get(call: number): Promise<CallState> {
    return this.ask("call.get", { call });
  }

  /** The recorded steps of a call, by the number that its exchange gave it. `origin`: that exchange, if it is not the server's. */
  trace(exchangeCall: number, origin?: number): Promise<Traced> {
    return this.ask("trace.get", { exchange_call: exchangeCall, ...(origin === undefined ? {} : { origin }) });
  }

  /** Subscribes to news of calls from now on. The subscription is renewed after a disconnection. */
  watch(): void {
    this.#watching = true;
    if (this.isOpen) this.#subscribe();
  }

  /** Sends any request other than an offer or a hello. */
  ask<M extends Exclude<keyof Methods, "call.offer" | "session.hello">>(
    method: M,
    params: Methods[M]["params"],
  ): Promise<Methods[M]["result"]> {
    return new Promise((resolve, reject) => {
      if (this.#state !== "open") return reject(new Error("the session is not open"));
      const id = `a${++this.#lastRequest}`;
      this.#pendingRequests.set(id, { resolve: (result) => resolve(result as Methods[M]["result"]), reject });
      this.#sendRequest({ id, method, params });
    });
  }

  /** Closes the session for good. The server hangs up its calls. */
  close(): void {
    this.#state = "closed";
    clearTimeout(this.#timer);
    this.#socket?.close(1000, "done");
    this.#disconnect("the session is closed");
    for (const call of [...this.#calls.keys()]) this.#finish(call, { answer: "lost", call });
  }

  #emit(event: Happening): void {
    for (const listener of [...this.#listeners]) listener(event);
  }

  #connect(): void {
    const Socket = this.#options.WebSocket ?? globalThis.WebSocket;
    if (!Socket) throw new Error("this platform has no WebSocket: pass one in the options");
    const socket = new Socket(this.#options.url, subprotocol);
    this.#socket = socket;
    const onTimeout = () => {
      this.#lateOpenings++;
      this.#onConnectionLost(socket, "the server has not opened in time");
    };
    // A crowded server serves connections in turn, and would never be reached by attempts that are all too short.
    const openWithin = this.#options.openWithin ?? 10_000;
    const longest = Math.max(openWithin, maxOpenWithin);
    this.#timer = setTimeout(onTimeout, Math.min(openWithin * 2 ** this.#lateOpenings, longest));
    socket.onopen = () => this.#sendHello();
    socket.onmessage = ({ data }) => {
      if (this.#socket === socket) this.#onText(String(data));
    };
    // A close event with the reason follows.
    socket.onerror = () => undefined;
    socket.onclose = ({ code, reason }) => this.#onConnectionLost(socket, `connection closed (${code}) ${reason}`.trim());
  }

  #onConnectionLost(socket: WebSocket, why: string): void {
    if (this.#socket !== socket) return;
    this.#disconnect(why);
    socket.close();
    if (this.#state === "closed") return;
    this.#state = "disconnected";
    for (const entry of this.#calls.values()) if (entry.progress === "sent") entry.progress = "in doubt";
    this.#emit({ what: "down", why });
    const kept = this.#sessionKey === undefined ? 0 : this.#sessionKept;
    this.#timer = setTimeout(() => this.#connect(), this.#backoff.failed(Date.now(), 0, kept));
  }

  #disconnect(why: string): void {
    this.#socket = undefined;
    this.#resuming = undefined;
    clearTimeout(this.#timer);
    const pending = [...this.#pendingRequests.values()];
    this.#pendingRequests.clear();
    for (const { reject } of pending) reject(new Error(why));
  }

  #sendRequest(request: { id: string | number; method: string; params: unknown }): void {
    if (this.#socket?.readyState === 1) this.#socket.send(JSON.stringify({ jsonrpc: "2.0", ...request }));
  }

  #sendHello(): void {
    this.#state = "hello sent";
    const { name, token } = this.#options;
    const hello = {
      client: name,
      resumable: true,
      ...(token === undefined ? {} : { token }),
      ...(this.#sessionKey === undefined ? {} : { resume: this.#sessionKey }),
    };
    const id = `a${++this.#lastRequest}`;
    const onError = (error: Error) => {
      if (!(error instanceof RpcError)) return;
      if (this.#sessionKey !== undefined) {
        // The previous session has ended: open a new one on this connection.
        this.#sessionKey = undefined;
        return this.#sendHello();
      }
      this.close();
      this.#emit({ what: "denied", why: error.message });
    };
    // Called directly, not through a promise: messages that follow the welcome may arrive in the same read.
    this.#pendingRequests.set(id, { resolve: (welcome) => this.#onWelcome(welcome as Welcome), reject: onError });
    this.#sendRequest({ id, method: "session.hello", params: hello });
  }

  #onWelcome(welcome: Welcome): void {
    clearTimeout(this.#timer);
    this.#state = "open";
    this.#lateOpenings = 0;
    this.#backoff.opened(Date.now());
    const takenUp = this.#sessionKey !== undefined && welcome.session === this.#sessionKey;
    this.#sessionKey = welcome.session ?? undefined;
    this.#sessionKept = welcome.limits.kept_ms;
    this.#emit({ what: "up", takenUp, welcome });
    if (takenUp) {
      this.#resuming = {
        remaining: welcome.owed,
        atServer: new Map(welcome.calls.map((state) => [state.call, state])),
      };
      this.#reconcile();
    } else {
      for (const [call, entry] of [...this.#calls]) {
        if (entry.progress === "stands") this.#onCallEnded(call, undefined);
        else if (entry.progress === "to send" && entry.deadline > Date.now()) this.#sendOffer(call);
        else this.#finish(call, { answer: "lost", call });
      }
    }
    if (this.#watching) this.#subscribe();
  }

  /**
   * Settles the calls in doubt by the calls that the server reported, once the messages that the server kept during the
   * disconnection have been processed.
   */
  #reconcile(): void {
    if (!this.#resuming || this.#resuming.remaining > 0) return;
    const { atServer } = this.#resuming;
    this.#resuming = undefined;
    // Calls that were hung up during the disconnection, so that the server does not know of it.
    for (const state of atServer.values()) if (!this.#calls.has(state.call)) this.hangUp(state.call);
    for (const [call, entry] of [...this.#calls]) {
      const state = atServer.get(call);
      if (entry.progress === "stands") {
        if (!state) this.#onCallEnded(call, undefined);
      } else if (state?.state === "stands") {
        this.#onAnswer({ call, exchange_call: state.exchange_call, answer: "stands" });
      } else if (state) {
        entry.progress = "sent";
      } else if (entry.progress === "to send" && entry.deadline <= Date.now()) {
        this.#finish(call, { answer: "lost", call });
      } else {
        // Also with no time left: the server then only repeats the lost answer and sets up no call.
        this.#sendOffer(call);
      }
    }
  }

  #subscribe(): void {
    const cursor = this.#cursor;
    this.ask("calls.subscribe", cursor === undefined ? {} : { cursor }).then(
      (result) => (this.#cursor ??= result.cursor),
      (error: Error) => {
        if (!(error instanceof RpcError) || cursor === undefined) return;
        // The cursor is too old or of another server: subscribe from now on, and report the gap.
        this.#cursor = undefined;
        this.#emit({ what: "missed", count: 0 });
        this.#subscribe();
      },
    );
  }

  #sendOffer(call: number): void {
    const entry = this.#calls.get(call);
    if (!entry) return;
    entry.progress = "sent";
    const left = Math.max(0, Math.floor(entry.deadline - Date.now()));
    this.#sendRequest({ id: call, method: "call.offer", params: { ...entry.offer, call, time_left_ms: left } });
  }

  #onText(text: string): void {
    let message: any;
    try {
      message = JSON.parse(text);
    } catch {
      return this.#socket?.close(3000, "a text makes no sense");
    }
    const resuming = this.#resuming;
    if (typeof message.method === "string") this.#onNotification(message.method, message.params);
    else if (typeof message.id === "number") this.#onOfferReply(message.id, message);
    else {
      const pending = this.#pendingRequests.get(message.id);
      this.#pendingRequests.delete(message.id);
      if (message.error) pending?.reject(new RpcError(message.error.code, message.error.message));
      else pending?.resolve(message.result);
    }
    // Not for the welcome, which only starts the resumption.
    if (resuming && resuming === this.#resuming) {
      resuming.remaining -= 1;
      this.#reconcile();
    }
  }

  #onNotification(method: string, params: any): void {
    if (method === "call.ended") {
      if (this.#calls.has(params.call)) this.#onCallEnded(params.call, params.how);
    } else if (method === "call.news") {
      this.#cursor = params.number + 1;
      this.#emit({ what: "news", number: params.number, event: params.event });
    } else if (method === "call.news.missed") {
      this.#emit({ what: "missed", count: params.count });
    }
  }

  #onOfferReply(call: number, reply: { result?: Answered; error?: { code: number; message: string; data?: any } }): void {
    if (reply.result) return this.#onAnswer(reply.result);
    const entry = this.#calls.get(call);
    if (!reply.error || !entry) return;
    if (reply.error.code === TOO_FAST) {
      return this.#finish(call, { answer: "refused", call, comeBackMs: reply.error.data?.come_back_ms ?? 0 });
    }
    this.#remove(call);
    entry.reject(new RpcError(reply.error.code, reply.error.message));
  }

  #onAnswer(result: Answered): void {
    const { call } = result;
    const entry = this.#calls.get(call);
    if (!entry || entry.progress === "stands") return;
    if (result.answer === "stands") {
      clearTimeout(entry.timer);
      entry.progress = "stands";
      entry.resolve({ answer: "stands", call, exchangeCall: result.exchange_call });
    } else if (result.answer === "refused") {
      this.#finish(call, { answer: "refused", call, comeBackMs: result.come_back_ms });
    } else {
      this.#finish(call, { answer: "fails", call });
    }
  }

  #onCallEnded(call: number, how: "hung_up" | "released" | "cut" | undefined): void {
    this.#remove(call);
    this.#emit({ what: "ended", call, how });
  }

  #finish(call: number, outcome: Outcome): void {
    const entry = this.#calls.get(call);
    this.#remove(call);
    // A standing call has its outcome already.
    if (entry && entry.progress !== "stands") entry.resolve(outcome);
  }

  #remove(call: number): void {
    clearTimeout(this.#calls.get(call)?.timer);
    this.#calls.delete(call);
  }
}
