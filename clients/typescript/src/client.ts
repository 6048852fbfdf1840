// A session with a controller: dialled anew when it is cut, taken up again, its calls settled as docs/call-control.md says.

import { ComeBack, Redial, type ComeBackPlan } from "./comeback.js";
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

export interface ClientOptions {
  /** `ws://host:port/calls`. */
  url: string;
  /** What the client calls itself, for the server's log. */
  name: string;
  token?: string;
  comeBack?: ComeBackPlan;
  /** The platform's own if left out; Node before 22 has none without a flag. */
  WebSocket?: new (url: string, protocols: string) => WebSocket;
  /** How long the handshake and the hello may take. Milliseconds. */
  openWithin?: number;
}

/** A call to be asked for; its number is set when it is. */
export type OfferWish = Omit<Offer, "call">;

/** What became of a call. `lost`: nobody can tell, its session is over or no answer came in time. */
export type Outcome =
  | { answer: "stands"; call: number; exchangeCall: number }
  | { answer: "refused"; call: number; comeBackMs: number }
  | { answer: "fails"; call: number }
  | { answer: "lost"; call: number };

/** What else happens on a session. */
export type Happening =
  | { what: "up"; takenUp: boolean; welcome: Welcome }
  | { what: "down"; why: string }
  | { what: "denied"; why: string }
  | { what: "ended"; call: number; how: "hung_up" | "released" | "cut" | undefined }
  | { what: "news"; number: number; event: CallEvent }
  | { what: "missed"; count: number };

class Fault extends Error {
  constructor(
    readonly code: number,
    message: string,
  ) {
    super(message);
  }
}

interface Held {
  offer: OfferWish;
  until: number;
  progress: "to send" | "sent" | "in doubt" | "stands";
  timer: ReturnType<typeof setTimeout>;
  settle: (outcome: Outcome) => void;
  fail: (error: Error) => void;
}

interface Asked {
  done: (result: unknown) => void;
  fail: (error: Error) => void;
}

/** Past a caller's time the answer may still be on its way for so long. */
const GRACE_MS = 1000;
const MOST_CALLS = 10_000;

export class Client {
  readonly #options: ClientOptions;
  readonly #back: ComeBack;
  readonly #calls = new Map<number, Held>();
  readonly #asked = new Map<string, Asked>();
  readonly #listeners = new Set<(happening: Happening) => void>();
  #socket: WebSocket | undefined;
  #state: "down" | "greeting" | "open" | "closed" = "down";
  #key: string | undefined;
  #kept = 0;
  #settling: { owed: number; there: Map<number, CallState> } | undefined;
  #cursor: number | undefined;
  #watches = false;
  #lastCall = 0;
  #lastAsk = 0;
  #timer: ReturnType<typeof setTimeout> | undefined;

  /** Dials at once. */
  constructor(options: ClientOptions) {
    this.#options = options;
    this.#back = new ComeBack(options.comeBack);
    this.#dial();
  }

  /** Hears what happens from now on; returns what ends it. */
  on(listener: (happening: Happening) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  get isOpen(): boolean {
    return this.#state === "open";
  }

  /** Calls in hand. */
  get calls(): number {
    return this.#calls.size;
  }

  /** Waits until the session is open. */
  opened(): Promise<void> {
    if (this.isOpen) return Promise.resolve();
    return new Promise((done, fail) => {
      const stop = this.on((happening) => {
        if (happening.what === "up") done();
        else if (happening.what === "denied") fail(new Error(happening.why));
        else return;
        stop();
      });
    });
  }

  /** Asks for a call; resolves with its one final answer, or `lost`. Kept while there is no connection, for the caller's time. */
  call(wish: OfferWish): Promise<Outcome> {
    return this.start(wish).outcome;
  }

  /** The same, with the call's number at once: to cancel it, for one. */
  start(wish: OfferWish): { call: number; outcome: Promise<Outcome> } {
    const call = ++this.#lastCall;
    const outcome = new Promise<Outcome>((settle, fail) => {
      if (this.#state === "closed") return fail(new Error("the session is closed"));
      if (this.#calls.size >= MOST_CALLS) return fail(new Error(`${MOST_CALLS} calls are in hand already`));
      const until = Date.now() + wish.time_left_ms;
      const timer = setTimeout(() => {
        // Were it to stand all the same, nobody would know of it.
        this.hangUp(call);
        settle({ answer: "lost", call });
      }, wish.time_left_ms + GRACE_MS);
      this.#calls.set(call, { offer: wish, until, progress: "to send", timer, settle, fail });
      if (this.#state === "open" && !this.#settling) this.#send(call);
    });
    return { call, outcome };
  }

  /** Asks for a call, and again while it is refused or fails, as the rules for that allow. */
  async callPolitely(redial: Redial, wish: OfferWish): Promise<Outcome> {
    const until = Date.now() + wish.time_left_ms;
    redial.firstOffer();
    for (let offers = 1; ; offers += 1) {
      const left = until - Date.now();
      const outcome = await this.call({ ...wish, time_left_ms: Math.max(0, left), redial: offers > 1 });
      if (outcome.answer === "stands" || outcome.answer === "lost") return outcome;
      const told = outcome.answer === "refused" ? outcome.comeBackMs : 0;
      const wait = redial.again(until - Date.now(), offers, told);
      if (wait === undefined) return outcome;
      await new Promise((done) => setTimeout(done, wait));
    }
  }

  /** Ends a call that stands, or gives up one that has no answer yet. */
  hangUp(call: number): void {
    void this.ask("call.hangup", { call }).catch(() => undefined);
    this.#forget(call);
  }

  /** Gives up a call that has no answer; its outcome is `fails`. */
  cancel(call: number): void {
    void this.ask("call.cancel", { call }).catch(() => undefined);
  }

  get(call: number): Promise<CallState> {
    return this.ask("call.get", { call });
  }

  trace(exchangeCall: number, origin?: number): Promise<Traced> {
    return this.ask("trace.get", { exchange_call: exchangeCall, ...(origin === undefined ? {} : { origin }) });
  }

  /** Hears news of calls from now on, through cuts too. */
  watch(): void {
    this.#watches = true;
    if (this.isOpen) this.#subscribe();
  }

  /** Any request but an offer or a hello. */
  ask<M extends Exclude<keyof Methods, "call.offer" | "session.hello">>(
    method: M,
    params: Methods[M]["params"],
  ): Promise<Methods[M]["result"]> {
    return new Promise((done, fail) => {
      if (this.#state !== "open") return fail(new Error("the session is not open"));
      const id = `a${++this.#lastAsk}`;
      this.#asked.set(id, { done: (result) => done(result as Methods[M]["result"]), fail });
      this.#say({ id, method, params });
    });
  }

  /** Ends the session for good: what it has in hand is hung up. */
  close(): void {
    this.#state = "closed";
    clearTimeout(this.#timer);
    this.#socket?.close(1000, "done");
    this.#drop("the session is closed");
    for (const call of [...this.#calls.keys()]) this.#end(call, { answer: "lost", call });
  }

  #tell(happening: Happening): void {
    for (const listener of [...this.#listeners]) listener(happening);
  }

  #dial(): void {
    const Socket = this.#options.WebSocket ?? globalThis.WebSocket;
    if (!Socket) throw new Error("this platform has no WebSocket: give one in the options");
    const socket = new Socket(this.#options.url, subprotocol);
    this.#socket = socket;
    this.#timer = setTimeout(() => this.#lost(socket, "does not open"), this.#options.openWithin ?? 10_000);
    socket.onopen = () => this.#greet();
    socket.onmessage = ({ data }) => {
      if (this.#socket === socket) this.#hear(String(data));
    };
    // The reason follows in the close.
    socket.onerror = () => undefined;
    socket.onclose = ({ code, reason }) => this.#lost(socket, `closed (${code}) ${reason}`.trim());
  }

  #lost(socket: WebSocket, why: string): void {
    if (this.#socket !== socket) return;
    this.#drop(why);
    socket.close();
    if (this.#state === "closed") return;
    this.#state = "down";
    for (const held of this.#calls.values()) if (held.progress === "sent") held.progress = "in doubt";
    this.#tell({ what: "down", why });
    this.#timer = setTimeout(() => this.#dial(), this.#back.failed(Date.now(), 0, this.#key === undefined ? 0 : this.#kept));
  }

  #drop(why: string): void {
    this.#socket = undefined;
    this.#settling = undefined;
    clearTimeout(this.#timer);
    const asked = [...this.#asked.values()];
    this.#asked.clear();
    for (const { fail } of asked) fail(new Error(why));
  }

  #say(request: { id: string | number; method: string; params: unknown }): void {
    if (this.#socket?.readyState === 1) this.#socket.send(JSON.stringify({ jsonrpc: "2.0", ...request }));
  }

  #greet(): void {
    this.#state = "greeting";
    const { name, token } = this.#options;
    const hello = {
      client: name,
      resumable: true,
      ...(token === undefined ? {} : { token }),
      ...(this.#key === undefined ? {} : { resume: this.#key }),
    };
    const id = `a${++this.#lastAsk}`;
    const denied = (error: Error) => {
      if (!(error instanceof Fault)) return;
      if (this.#key !== undefined) {
        // The session of before is over: this connection begins another.
        this.#key = undefined;
        return this.#greet();
      }
      this.close();
      this.#tell({ what: "denied", why: error.message });
    };
    // At once, not by a promise: what follows the welcome may come in the same go.
    this.#asked.set(id, { done: (welcome) => this.#welcome(welcome as Welcome), fail: denied });
    this.#say({ id, method: "session.hello", params: hello });
  }

  #welcome(welcome: Welcome): void {
    clearTimeout(this.#timer);
    this.#state = "open";
    this.#back.opened(Date.now());
    const takenUp = this.#key !== undefined && welcome.session === this.#key;
    this.#key = welcome.session ?? undefined;
    this.#kept = welcome.limits.kept_ms;
    this.#tell({ what: "up", takenUp, welcome });
    if (takenUp) {
      this.#settling = { owed: welcome.owed, there: new Map(welcome.calls.map((state) => [state.call, state])) };
      this.#settle();
    } else {
      for (const [call, held] of [...this.#calls]) {
        if (held.progress === "stands") this.#ended(call, undefined);
        else if (held.progress === "to send" && held.until > Date.now()) this.#send(call);
        else this.#end(call, { answer: "lost", call });
      }
    }
    if (this.#watches) this.#subscribe();
  }

  /** Once all that was owed has been heard, what is in doubt is told by what the server has in hand. */
  #settle(): void {
    if (!this.#settling || this.#settling.owed > 0) return;
    const { there } = this.#settling;
    this.#settling = undefined;
    for (const state of there.values()) if (!this.#calls.has(state.call)) this.hangUp(state.call);
    for (const [call, held] of [...this.#calls]) {
      const state = there.get(call);
      if (held.progress === "stands") {
        if (!state) this.#ended(call, undefined);
      } else if (state?.state === "stands") {
        this.#answered({ call, exchange_call: state.exchange_call, answer: "stands" });
      } else if (state) {
        held.progress = "sent";
      } else if (held.progress === "to send" && held.until <= Date.now()) {
        this.#end(call, { answer: "lost", call });
      } else {
        // With no time left it only asks for the answer that was lost: no call comes of it.
        this.#send(call);
      }
    }
  }

  #subscribe(): void {
    const cursor = this.#cursor;
    this.ask("calls.subscribe", cursor === undefined ? {} : { cursor }).then(
      (result) => (this.#cursor ??= result.cursor),
      (error: Error) => {
        if (!(error instanceof Fault) || cursor === undefined) return;
        // Too old, or another server's: from now on, and the gap is told.
        this.#cursor = undefined;
        this.#tell({ what: "missed", count: 0 });
        this.#subscribe();
      },
    );
  }

  #send(call: number): void {
    const held = this.#calls.get(call);
    if (!held) return;
    held.progress = "sent";
    const left = Math.max(0, Math.floor(held.until - Date.now()));
    this.#say({ id: call, method: "call.offer", params: { ...held.offer, call, time_left_ms: left } });
  }

  #hear(text: string): void {
    let heard: any;
    try {
      heard = JSON.parse(text);
    } catch {
      return this.#socket?.close(3000, "a text makes no sense");
    }
    const settling = this.#settling;
    if (typeof heard.method === "string") this.#notice(heard.method, heard.params);
    else if (typeof heard.id === "number") this.#reply(heard.id, heard);
    else {
      const asked = this.#asked.get(heard.id);
      this.#asked.delete(heard.id);
      if (heard.error) asked?.fail(new Fault(heard.error.code, heard.error.message));
      else asked?.done(heard.result);
    }
    if (settling && settling === this.#settling) {
      settling.owed -= 1;
      this.#settle();
    }
  }

  #notice(method: string, params: any): void {
    if (method === "call.ended") {
      if (this.#calls.has(params.call)) this.#ended(params.call, params.how);
    } else if (method === "call.news") {
      this.#cursor = params.number + 1;
      this.#tell({ what: "news", number: params.number, event: params.event });
    } else if (method === "call.news.missed") {
      this.#tell({ what: "missed", count: params.count });
    }
  }

  #reply(call: number, heard: { result?: Answered; error?: { code: number; message: string; data?: any } }): void {
    if (heard.result) return this.#answered(heard.result);
    const held = this.#calls.get(call);
    if (!heard.error || !held) return;
    if (heard.error.code === -32005) {
      return this.#end(call, { answer: "refused", call, comeBackMs: heard.error.data?.come_back_ms ?? 0 });
    }
    this.#forget(call);
    held.fail(new Fault(heard.error.code, heard.error.message));
  }

  #answered(answered: Answered): void {
    const { call } = answered;
    const held = this.#calls.get(call);
    if (!held || held.progress === "stands") return;
    if (answered.answer === "stands") {
      clearTimeout(held.timer);
      held.progress = "stands";
      held.settle({ answer: "stands", call, exchangeCall: answered.exchange_call });
    } else if (answered.answer === "refused") {
      this.#end(call, { answer: "refused", call, comeBackMs: answered.come_back_ms });
    } else {
      this.#end(call, { answer: "fails", call });
    }
  }

  #ended(call: number, how: "hung_up" | "released" | "cut" | undefined): void {
    this.#forget(call);
    this.#tell({ what: "ended", call, how });
  }

  #end(call: number, outcome: Outcome): void {
    const held = this.#calls.get(call);
    this.#forget(call);
    // One that stands has had its outcome.
    if (held && held.progress !== "stands") held.settle(outcome);
  }

  #forget(call: number): void {
    clearTimeout(this.#calls.get(call)?.timer);
    this.#calls.delete(call);
  }
}
