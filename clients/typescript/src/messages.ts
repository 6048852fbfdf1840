// Written by scripts/types.mjs from schema.json. Do not edit.

/**
 * The result of `call.offer`.
 */
export type Answered = {
  call: number;
  /**
   * The number that the exchange gave the call.
   */
  exchange_call: number;
} & Answered1;
export type Answered1 =
  | {
      answer: "stands";
    }
  | {
      answer: "refused";
      come_back_ms: number;
    }
  | {
      answer: "fails";
    };
/**
 * What `call.news` tells of a call.
 */
export type CallEvent = CallEvent1 & {
  customer: number;
  exchange_call: number;
};
export type CallEvent1 =
  | Final
  | {
      ended: How;
    };
/**
 * The final answer of a call.
 */
export type Final =
  | {
      answer: "stands";
    }
  | {
      answer: "refused";
      come_back_ms: number;
    }
  | {
      answer: "fails";
    };
/**
 * How a standing call ended.
 */
export type How = "hung_up" | "released" | "cut";
/**
 * The result of `call.get`, and what `session.hello` tells of each call taken up.
 */
export type CallState = {
  call: number;
  /**
   * The number that the exchange gave it; 0 while it waits for its turn.
   */
  exchange_call: number;
} & CallState1;
export type CallState1 =
  | {
      state: "waits";
    }
  | {
      state: "offered";
    }
  | {
      state: "stands";
    }
  | {
      answer: Final;
      state: "over";
    };

export interface Messages {
  Answered?: Answered;
  CallEvent?: CallEvent;
  CallState?: CallState;
  CallTrace?: CallTrace;
  Cancel?: Cancel;
  Done?: Done;
  EndedNote?: EndedNote;
  Final?: Final;
  Get?: Get;
  Hangup?: Hangup;
  Hello?: Hello;
  How?: How;
  MissedNote?: MissedNote;
  NewsNote?: NewsNote;
  Offer?: Offer;
  SessionLimits?: SessionLimits;
  Subscribe?: Subscribe;
  Subscribed?: Subscribed;
  TraceGet?: TraceGet;
  Traced?: Traced;
  Welcome?: Welcome;
}
/**
 * A call's way through one exchange.
 */
export interface CallTrace {
  /**
   * The number of the call here.
   */
  call: number;
  customer: number;
  dest: number;
  /**
   * Steps that there was no room for.
   */
  left_out: number;
  number: number;
  /**
   * The exchange that took it, and the number it gave it.
   */
  origin: number;
  origin_call: number;
  /**
   * Each has `step`, its name, `at_ms`, milliseconds since the first, and what belongs to it.
   */
  steps: unknown[];
  type: number;
}
/**
 * `call.cancel`: gives up a call that has no answer yet; it gets its answer, `fails`, at once.
 */
export interface Cancel {
  call: number;
}
/**
 * The result of `call.hangup` and `call.cancel`.
 */
export interface Done {
  call: number;
}
/**
 * Notification `call.ended`.
 */
export interface EndedNote {
  call: number;
  how: How;
}
/**
 * `call.get`: asks where a call is.
 */
export interface Get {
  call: number;
}
/**
 * `call.hangup`: the caller gives up, or ends a call that stands.
 */
export interface Hangup {
  call: number;
}
/**
 * `session.hello`: says who asks, where the controller wants to know.
 */
export interface Hello {
  /**
   * What the client calls itself, for the log.
   */
  client: string;
  /**
   * Keep the session for a while after a cut: the result tells its key.
   */
  resumable?: boolean;
  /**
   * The key of a session that was cut, to be taken up here; nothing may have been asked for before.
   */
  resume?: string | null;
  token?: string | null;
}
/**
 * Notification `call.news.missed`: so many events were more than are kept for a slow reader.
 */
export interface MissedNote {
  count: number;
}
/**
 * Notification `call.news`.
 */
export interface NewsNote {
  event: CallEvent;
  /**
   * One more than that of the event before, whether or not this session may see that one.
   */
  number: number;
}
/**
 * `call.offer`: asks for a call. Its result is the call's one final answer.
 */
export interface Offer {
  /**
   * The tandem that a centre advises.
   */
  advised?: number | null;
  /**
   * The client's own number for it, not in use on this line.
   */
  call: number;
  /**
   * Which customer's subscriber calls.
   */
  customer?: number;
  /**
   * It stood, was cut, and comes again.
   */
  cut?: boolean;
  /**
   * The number of the destination exchange.
   */
  dest: number;
  /**
   * The number dialled there.
   */
  number: number;
  /**
   * Its caller dials again.
   */
  redial?: boolean;
  /**
   * How long the caller waits for the final answer, milliseconds.
   */
  time_left_ms: number;
  /**
   * Position in the configuration's list of call types.
   */
  type?: number;
}
/**
 * What a session may do here; beyond it, errors and refusals say so.
 */
export interface SessionLimits {
  calls_a_customer: number;
  /**
   * Calls in hand in one session, and of one customer.
   */
  calls_a_session: number;
  /**
   * How long a resumable session is kept after a cut, milliseconds.
   */
  kept_ms: number;
  /**
   * Offers, and requests of any kind, a second.
   */
  offers_per_s: number;
  /**
   * How long an answer is remembered for an offer that comes again under its number, milliseconds.
   */
  repeat_ms: number;
  requests_per_s: number;
  /**
   * Octets of the longest text.
   */
  text_octets: number;
}
/**
 * `calls.subscribe`: what happens to calls is told as `call.news` from now on, or from a cursor.
 */
export interface Subscribe {
  /**
   * The number of the first event wanted: one more than the last that was heard.
   */
  cursor?: number | null;
}
/**
 * The result of `calls.subscribe`: the number of the first event that will be told.
 */
export interface Subscribed {
  cursor: number;
}
/**
 * `trace.get`: asks what became of a call, step by step.
 */
export interface TraceGet {
  /**
   * The number that the exchange which took it gave it.
   */
  exchange_call: number;
  /**
   * That exchange, if another.
   */
  origin?: number | null;
}
/**
 * The result of `trace.get`: what became of the call here, oldest step first.
 */
export interface Traced {
  traces: CallTrace[];
}
/**
 * The result of `session.hello`.
 */
export interface Welcome {
  /**
   * Calls in hand that were taken up with the session.
   */
  calls: CallState[];
  exchange: number;
  limits: SessionLimits;
  /**
   * Texts that were to be said while it was cut: so many follow this one.
   */
  owed: number;
  server: string;
  /**
   * The session's key, where it is resumable.
   */
  session?: string | null;
  /**
   * The token's name, where one was presented.
   */
  token?: string | null;
  version: string;
}

/** Parameters and result of each method. */
export interface Methods {
  "call.cancel": { params: Cancel; result: Done };
  "call.get": { params: Get; result: CallState };
  "call.hangup": { params: Hangup; result: Done };
  "call.offer": { params: Offer; result: Answered };
  "calls.subscribe": { params: Subscribe; result: Subscribed };
  "session.hello": { params: Hello; result: Welcome };
  "trace.get": { params: TraceGet; result: Traced };
}

/** Parameters of each notification. */
export interface Notifications {
  "call.ended": EndedNote;
  "call.news": NewsNote;
  "call.news.missed": MissedNote;
}

/** What each error code means. */
export const errors: Record<number, string> = {
  [-32700]: "the text is not JSON",
  [-32600]: "the text is no request of JSON-RPC 2.0; batches are not taken",
  [-32601]: "no such method",
  [-32602]: "the parameters are not the method's, or a key or cursor is none that can be followed",
  [-32001]: "no such call is known",
  [-32002]: "the number is in use by another call of the session",
  [-32003]: "too many calls are in hand, or too many connections are open",
  [-32004]: "the token does not allow it, or there is none",
  [-32005]: "requests come too fast; data.come_back_ms says when the next is read",
  [-32006]: "the call stands: it is hung up, not cancelled",
};

/** The subprotocol. */
export const subprotocol = "mintstall.calls.v1";
