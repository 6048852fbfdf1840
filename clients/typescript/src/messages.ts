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
 * An event of a call, as sent in `call.news`.
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
 * The result of `call.get`; `session.hello` also lists one for each call resumed with the session.
 */
export type CallState = {
  call: number;
  /**
   * The number that the exchange gave the call; 0 while the call is queued for admission.
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
 * The trace of a call through one exchange.
 */
export interface CallTrace {
  /**
   * The number of the call at this exchange.
   */
  call: number;
  customer: number;
  dest: number;
  /**
   * How many steps were not recorded for lack of room.
   */
  left_out: number;
  number: number;
  /**
   * The exchange to which the call was offered; `origin_call` is the number that it gave the call.
   */
  origin: number;
  origin_call: number;
  /**
   * Each step has its name in `step`, the milliseconds since the first step in `at_ms`, and fields of its own.
   */
  steps: unknown[];
  type: number;
}
/**
 * `call.cancel`: gives up an unanswered call; its final answer is `fails` and is sent at once.
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
 * `call.get`: requests the state of a call.
 */
export interface Get {
  call: number;
}
/**
 * `call.hangup`: the caller gives up an unanswered call, or ends a standing one.
 */
export interface Hangup {
  call: number;
}
/**
 * `session.hello`: identifies the client, where the controller requires it, and sets up or resumes a session.
 */
export interface Hello {
  /**
   * The client's name for the log.
   */
  client: string;
  /**
   * Asks that the session be kept for some time after a lost connection. The result carries the session's key.
   */
  resumable?: boolean;
  /**
   * The key of a session to resume here after a lost connection. Must come before any other request.
   */
  resume?: string | null;
  token?: string | null;
}
/**
 * Notification `call.news.missed`: `count` events were dropped because the client read too slowly.
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
   * One more than the number of the previous event, even if this session may not see that event.
   */
  number: number;
}
/**
 * `call.offer`: requests a call. The result is the call's only final answer.
 */
export interface Offer {
  /**
   * The tandem exchange that a routing centre advises.
   */
  advised?: number | null;
  /**
   * The client's own number for the call. No other call of the session may be using it.
   */
  call: number;
  /**
   * The customer to which the calling subscriber belongs.
   */
  customer?: number;
  /**
   * The call was standing, was cut, and is offered again.
   */
  cut?: boolean;
  /**
   * The number of the destination exchange.
   */
  dest: number;
  /**
   * The number dialled at the destination exchange.
   */
  number: number;
  /**
   * The caller redials.
   */
  redial?: boolean;
  /**
   * How long the caller waits for the final answer, in milliseconds.
   */
  time_left_ms: number;
  /**
   * Index in the configuration's list of call types.
   */
  type?: number;
}
/**
 * The limits of a session at this exchange. Requests beyond them are answered by errors or by refused calls.
 */
export interface SessionLimits {
  /**
   * Calls in hand per customer.
   */
  calls_a_customer: number;
  /**
   * Calls in hand per session.
   */
  calls_a_session: number;
  /**
   * How long a resumable session is kept after its connection is lost, in milliseconds.
   */
  kept_ms: number;
  /**
   * Offers per second.
   */
  offers_per_s: number;
  /**
   * How long a final answer is kept for an offer that is repeated under the same number, in milliseconds.
   */
  repeat_ms: number;
  /**
   * Requests of any kind per second, offers included.
   */
  requests_per_s: number;
  /**
   * The maximum length of a message in octets.
   */
  text_octets: number;
}
/**
 * `calls.subscribe`: subscribes to the events of calls, sent as `call.news`, from now on or from a cursor.
 */
export interface Subscribe {
  /**
   * The number of the first event wanted: one more than that of the last event received.
   */
  cursor?: number | null;
}
/**
 * The result of `calls.subscribe`: the number of the first event that will be sent.
 */
export interface Subscribed {
  cursor: number;
}
/**
 * `trace.get`: requests the recorded steps of a call.
 */
export interface TraceGet {
  /**
   * The number given to the call by the exchange to which it was offered.
   */
  exchange_call: number;
  /**
   * The number of that exchange, if it is not this one.
   */
  origin?: number | null;
}
/**
 * The result of `trace.get`: the steps of the call at this exchange, oldest first.
 */
export interface Traced {
  traces: CallTrace[];
}
/**
 * The result of `session.hello`.
 */
export interface Welcome {
  /**
   * Calls in hand that were resumed with the session.
   */
  calls: CallState[];
  exchange: number;
  limits: SessionLimits;
  /**
   * How many messages became due while the connection was lost. They follow this result.
   */
  owed: number;
  server: string;
  /**
   * The session's key, if the session is resumable.
   */
  session?: string | null;
  /**
   * The name of the token, if the client presented one.
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
