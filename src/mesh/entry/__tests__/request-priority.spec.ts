/** Guards against a workspace whose requests are admitted, queued or retried with the priority of their route. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {createDecisionLog} from '../../decision-log.js';
import type {CallHeader} from '../../message.js';
import {forwardRequest, type ForwardingOptions} from '../request-forwarder.js';
import type {CallRank} from '../retry-budget.js';
import type {Route, Workspace} from '../routing-configuration.js';

const route: Route = {
  name: 'r', host: 'h', prefix: '/', idempotent: true, timeoutMs: 1000, targetMs: 100, priority: 3, attemptsMax: 2, targets: [{service: 's', weight: 1}],
};
const workspace: Workspace = {
  name: 'pulo780', keyDigests: [], priority: 1, ratePerS: undefined, burst: 0,
};

const cases: Array<{title: string; sender: Workspace | undefined; priority: number}> = [
  {title: 'a workspace', sender: workspace, priority: 1},
  {title: 'a backend server', sender: undefined, priority: 3},
];

for (const {title, sender, priority} of cases) {
  test(`a request of ${title} has priority ${priority} in admission control, in the call and in the log`, t => {
    const admitted: number[] = [];
    const calls: CallHeader[] = [];
    const ranks: CallRank[] = [];
    const lines: string[] = [];
    const log = createDecisionLog({
      node: 'n', level: 'info', linesPerSecond: {
        debug: 9, info: 9, warn: 9, error: 9,
      }, sink: line => lines.push(line) * 0,
    });
    const options = {
      now: () => 0,
      random: () => 0,
      log,
      fleet: {
        candidates: () => [{
          node: 'n', zone: 'z', isLive: true, load: {
            running: 0, queued: 0, limit: 1, serviceMs: 1, routes: [], counted: {requests: 0, repeats: 0},
          }, destination: {
            node: 'n',
            send(call: CallHeader, _body: Buffer, onResult: (result: unknown, body: Buffer) => void) {
              calls.push(call);
              onResult({kind: 'lost', cause: 'test'}, Buffer.alloc(0));
              return {cancel() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
            },
            recordOutcome() {}, // eslint-disable-line @typescript-eslint/no-empty-function
          },
        }],
        isConnecting: () => false,
      },
      zone: 'z',
      budget: {
        recordRequest() {}, // eslint-disable-line @typescript-eslint/no-empty-function
        tryAcquire(_service: string, rank: CallRank) {
          ranks.push(rank);
          return false;
        },
      },
      crashGuard: {assess: () => undefined},
      admission: {
        admit(request: {priority: number}) {
          admitted.push(request.priority);
          return true;
        },
        admittedShare(request: {priority: number}) {
          admitted.push(request.priority);
          return 1;
        },
        callOrigin: ({workspace}: {workspace: Workspace | undefined}) => ({workspace: workspace?.name}),
      },
      dependencies: {recordOutcome() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
      isClientRoute: () => true,
    } as unknown as ForwardingOptions;
    forwardRequest(options, {
      requestId: 'one', route, service: 's', workspace: sender, priority, rank: 'ordinary', method: 'GET', path: '/', rawHeaders: [], body: Buffer.alloc(0), isClientRetry: false, configurationVersion: 1, arrivedAt: 0, deadlineAt: 1000,
    }, () => undefined);
    t.deepEqual(admitted, [priority, priority]);
    t.deepEqual(calls.map(call => [call.priority, call.workspace]), [[priority, sender?.name]]);
    t.deepEqual(ranks, ['ordinary']);
    t.deepEqual(lines.map(line => JSON.parse(line) as {priority: number; workspace?: string}).map(line => [line.priority, line.workspace]), [[priority, sender?.name]]);
  });
}
