export { Client, type ClientOptions, type Outcome, type OfferWish, type Happening } from "./client.js";
export { ComeBack, Redial, type ComeBackPlan, type RedialPlan } from "./retry.js";
export * from "./messages.js";
