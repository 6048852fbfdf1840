'use strict';
// Runs one case: starts the controller with the `run` line of deploy/balancer.toml, hands the stand-ins to the case, and
// writes record.txt. Exit code 11: the rule was broken; 0: it held; anything else: the case could not run. run.sh turns these
// into 1, 0 and 2, so that a script that fails to load is not taken for a broken rule.

const fs = require('fs');
const os = require('os');
const net = require('net');
const path = require('path');
const { spawn } = require('child_process');
const { Exchange, EventBus, CallerConnection, newId, sleep, listenOnFreePort } = require('./standins');

const ROOT = path.resolve(__dirname, '..', '..');
const MAX_RUN_MS = 110_000;
/** Each time limit is 50 ms longer (PROTOCOL.md, 'The rules on sockets'). */
const SLACK_MS = 50;
const BROKEN = 11;

class CannotRun extends Error {}

/** The settings of a small deployment, in the names of WIRE-mintstall.md. */
function settings(overrides = {}) {
  const lane = (name, aim, limit, worth) => ({
    name, aim_s: aim, hard_limit_s: limit, worth, semantics: 'free', group: 'all', late_value: 0.25, streamed: true, window_s: 5.0,
  });
  const base = {
    balancers: 5, service_type: 'trunks', membership_mode: 'automatic', me: 0, tick_s: 0.005, zone: 0,
    dcs: ['kingston', 'miami', 'new-york'],
    lanes: [lane('episode', 2.0, 9.0, 1.0), lane('ad-spot', 0.8, 6.0, 8.0), lane('feed', 2.0, 9.0, 3.0)],
    limits: {
      cancelling: true, conn_idle_s: 600.0, dial_timeout_s: 0.5, max_open: 20000, max_retry_after_s: 2.0, may_duplicate: false,
      most_tries: 5, peers: false, probes: true, retry_after: true, streams_per_conn: 1048576,
    },
    report: { fields: ['idle', 'circuits', 'reduce'], how: 'pull' },
    rules: { ask_every_s: 10.0, cold_from: 0.3, drain_grace_s: 2.0, fall_multiple: 2.5, fall_s: 1.0, grace_to_answer_s: 0.02, ramp_time_s: 15.0 },
    specifics: {
      advice: true, call_length_s: [9.6, 5.8, 7.7], clear_wait_s: 0.2, far_reports: 'pull', network_form: 'network', own_number: 0,
      retransmit_s: 0.0, says_wait: true, widths: [1, 1, 1],
    },
    tenants: [{ name: 'yard-voices', quota_per_s: 17.0, share: 0.39 }, { name: 'hillside-talk', quota_per_s: 16.0, share: 0.37 }, { name: 'campus-sound', quota_per_s: 11.0, share: 0.24 }],
  };
  for (const [key, value] of Object.entries(overrides)) base[key] = { ...base[key], ...value };
  return base;
}

function runLine() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy', 'balancer.toml'), 'utf8');
  const line = text.match(/^run\s*=\s*"([^"]*)"/m);
  if (!line) throw new CannotRun('deploy/balancer.toml has no run line');
  return line[1];
}

class Case {
  constructor(folder) {
    this.folder = folder;
    this.trouble = process.env.TROUBLE !== '0';
    this.started = Date.now();
    this.lines = [];
    this.children = [];
    this.temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'mintstall-review-'));
    this.record = (who, text) => {
      const at = Date.now();
      this.lines.push(`${((at - this.started) / 1000).toFixed(3).padStart(8)} ${who}: ${text}`);
    };
    this.record('case', `trouble: ${this.trouble ? 'yes' : 'no'}`);
  }

  /** Starts exchanges (numbers from 1 on), the bus and the controller of exchange 0. */
  async start({ exchanges = 4, sockets = 256, memoryMb = 64, overrides = {}, exchangeOptions = {} } = {}) {
    this.exchanges = [];
    for (let number = 1; number <= exchanges; number += 1) {
      const exchange = new Exchange(this.record, { uid: `s-${newId().slice(0, 8)}`, number, ...exchangeOptions });
      await exchange.start();
      this.exchanges.push(exchange);
    }
    this.bus = new EventBus(this.record, this.exchanges);
    await this.bus.start();
    const probe = net.createServer();
    const port = await listenOnFreePort(probe);
    await new Promise((resolve) => probe.close(resolve));
    this.listen = `127.0.0.1:${port}`;
    this.config = {
      name: 'n0', listen: this.listen, seed: '8c1f30d27a5be964', limits: { cores: 1.0, memory_mb: memoryMb, sockets },
      bus: this.bus.address, known: this.bus.known(), settings: settings(overrides),
    };
    await this.startController();
  }

  async startController() {
    const configPath = path.join(this.temporary, 'config.json');
    fs.writeFileSync(configPath, JSON.stringify({ ...this.config, known: this.bus.known() }));
    const tmp = path.join(this.temporary, 'tmp');
    fs.mkdirSync(tmp, { recursive: true });
    const log = fs.openSync(path.join(this.temporary, 'controller.log'), 'a');
    let line = runLine();
    if (process.env.REVIEW_DEBUG) line = line.replace('--log info', '--log info,mintstall::calls=debug');
    const child = spawn('/bin/sh', ['-c', line], {
      cwd: ROOT, stdio: ['ignore', 'ignore', log],
      env: { PATH: process.env.PATH, TMPDIR: tmp, LB_CONFIG: configPath, LB_LISTEN: this.listen, LB_NAME: 'n0' },
    });
    fs.closeSync(log);
    this.controller = child;
    this.children.push(child);
    child.exited = new Promise((resolve) => child.on('exit', (code, signal) => { this.record('controller', `ended: ${signal || `code ${code}`}`); resolve(); }));
    child.on('error', () => {});
    for (let tries = 0; tries < 200; tries += 1) {
      if (child.exitCode !== null) throw new CannotRun('the controller ended at its start');
      const connection = new CallerConnection(() => {}, 'test', this.listen);
      connection.test();
      const passed = await connection.until(() => connection.lastStatus || connection.closed, 500) && connection.lastStatus === 200;
      connection.socket.destroy();
      if (passed) { this.record('controller', 'passed a test'); return; }
      await sleep(50);
    }
    throw new CannotRun('the controller passed no test');
  }

  async caller(name) {
    const connection = new CallerConnection(this.record, name, this.listen);
    await connection.opened();
    connection.log('connection opened');
    return connection;
  }

  async finish(code) {
    if (this.finishing) return;
    this.finishing = true;
    for (const child of this.children) if (child.exitCode === null && child.signalCode === null) { child.kill('SIGKILL'); await child.exited; }
    if (this.exchanges) this.exchanges.forEach((exchange) => exchange.stop());
    if (this.bus) this.bus.stop();
    this.record('case', code === BROKEN ? 'the rule was broken' : code === 0 ? 'the rule held' : 'the case could not run');
    fs.writeFileSync(path.join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`);
    if (process.env.REVIEW_DEBUG) fs.copyFileSync(path.join(this.temporary, 'controller.log'), process.env.REVIEW_DEBUG);
    fs.rmSync(this.temporary, { recursive: true, force: true });
    console.log(this.lines[this.lines.length - 1].trim());
    process.exit(code);
  }
}

/** Runs a case. `play` returns whether the rule held, or throws CannotRun. */
async function run(folder, play) {
  const current = new Case(folder);
  const failed = (error) => { current.record('case', String((error && error.stack) || error)); current.finish(2); };
  process.on('uncaughtException', failed).on('unhandledRejection', failed);
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => failed(signal));
  setTimeout(() => { current.record('case', 'took too long'); current.finish(2); }, MAX_RUN_MS);
  try {
    const held = await play(current);
    await current.finish(held ? 0 : BROKEN);
  } catch (error) {
    current.record('case', error instanceof CannotRun ? error.message : String(error.stack));
    await current.finish(2);
  }
}

module.exports = { run, CannotRun, SLACK_MS, sleep, newId };
