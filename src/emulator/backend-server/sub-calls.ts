/** Calls of an emulated backend server to other services, through the daemon on its host. */
import {Buffer} from 'node:buffer';
import {type Agent} from 'undici';
import {CALL_TOKEN_HEADER, DEADLINE_HEADER, REQUEST_ID_HEADER} from '../../shared/constants.js';
import {
  CALL_PATH_HEADER, checkMessage, encodeMessage, ATTEMPT_HEADER,
} from './message.js';
import type {EmulatedSubCall} from './settings.js';

/** Context of the request that sub-calls are made for. */
export type SubCallContext = {
  agent: Agent;
  /** Local listener of the daemon, `ip:port`. */
  local: string;
  requestId: string;
  bodyId: string;
  attemptNumber: number;
  callPath: string;
  /** Call token that the daemon sent with the request. */
  callToken: string | undefined;
  /** Deadline of the request, on the clock of `performance.now()`. */
  deadlineAt: number;
  signal: AbortSignal;
};

/** Outcome of the sub-calls of a request. */
export type SubCallOutcome =
  | {kind: 'completed'}
  /** `retryAfterSeconds` is set if the service rejected the call for overload, with status 503. */
  | {kind: 'failed'; service: string; retryAfterSeconds: number | undefined};

const COMPLETED: SubCallOutcome = {kind: 'completed'};

const createHeaders = (context: SubCallContext, callPath: string) => ({
  [ATTEMPT_HEADER]: String(context.attemptNumber),
  [CALL_PATH_HEADER]: callPath,
  [REQUEST_ID_HEADER]: context.requestId,
  [DEADLINE_HEADER]: String(Math.max(0, Math.floor(context.deadlineAt - performance.now()))),
  ...(context.callToken === undefined ? {} : {[CALL_TOKEN_HEADER]: context.callToken}),
});

const makeSubCall = async (context: SubCallContext, call: EmulatedSubCall, position: string): Promise<SubCallOutcome> => {
  const failed: SubCallOutcome = {kind: 'failed', service: call.service, retryAfterSeconds: undefined};
  const bodyId = `${context.bodyId}/${position}`;
  const expectedId = call.method === 'GET' ? context.requestId : bodyId;
  try {
    const response = await context.agent.request({
      origin: `http://${context.local}`,
      method: call.method,
      path: `/${call.service}${call.path}`,
      headers: createHeaders(context, context.callPath === '' ? position : `${context.callPath}/${position}`),
      body: call.method === 'GET' ? undefined : encodeMessage(bodyId, call.service, 0),
      signal: context.signal,
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    if (response.statusCode === 503) {
      return {...failed, retryAfterSeconds: Number(response.headers['retry-after'] ?? 1)};
    }

    const check = checkMessage(body);
    const isExpectedResponse = check.kind === 'whole' && check.id === expectedId && check.service === call.service;
    return response.statusCode === 200 && isExpectedResponse ? COMPLETED : failed;
  } catch {
    return failed;
  }
};

const runStep = async (context: SubCallContext, step: readonly EmulatedSubCall[], stepIndex: number): Promise<SubCallOutcome> => {
  const calls = step.flatMap((call, callIndex) => Array.from({length: call.times}, (_, repetition) =>
    ({call, position: `${stepIndex}.${callIndex}.${repetition}`})));
  const outcomes = await Promise.all(calls.map(async ({call, position}) => makeSubCall(context, call, position)));
  return outcomes.find(outcome => outcome.kind === 'failed') ?? COMPLETED;
};

/** Runs the steps in sequence and stops after the first step with a failed call. */
export const runSubCalls = async (context: SubCallContext, steps: ReadonlyArray<readonly EmulatedSubCall[]>): Promise<SubCallOutcome> => {
  let previousStep = Promise.resolve<SubCallOutcome>(COMPLETED);
  for (const [index, step] of steps.entries()) {
    previousStep = previousStep.then(async outcome => outcome.kind === 'failed' ? outcome : runStep(context, step, index)); // eslint-disable-line promise/prefer-await-to-then
  }

  return previousStep;
};
