/** Changes the configuration on the platform without overwriting the changes of others. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  addChanges, CONFIGURATION_KIND, CONFIGURATION_NAME, encodeConfiguration, hashObjects, type Configuration,
} from '../objects/configuration.js';
import {formatDiagnostic} from '../objects/diagnostic.js';
import {checkObjects} from '../objects/validation.js';
import type {PlatformClient} from '../platform/client.js';
import {writeSettled} from '../platform/settle.js';
import {fail, ok, type Result} from '../shared/result.js';
import {commandFault, fromPlatform, type CommandFault} from './fault.js';
import {readHead, type Head} from './head.js';
import {
  findOverwritten, planEdit, type Claim, type Difference, type Edit, type Overwritten, type Plan,
} from './plan.js';

/** Change that an operator asks for. */
export type ChangeRequest = {
  edit: Edit;
  author: string;
  baseSequence: number | undefined;
  /** Whether the changes of others that are on the platform now may be replaced. */
  overwrite: boolean;
  /** Whether nothing is written. */
  dryRun: boolean;
  /** Sequence that a process has in force; undefined when none was asked or reachable. */
  inForceSequence: number | undefined;
};

/** What a change did. */
export type ChangeOutcome = {
  /** Sequence of the configuration that holds the change. */
  sequence: number;
  written: boolean;
  differences: Difference[];
  /** Faults of objects that do not keep the change from being applied. */
  warnings: string[];
};

// Unrelated changes are written by others at most every few seconds; eight tries in a row only fail under heavy automation.
const WRITE_TRIES = 8;

// A watcher writes a newer configuration back to a restored platform within seconds.
const WRITE_BACK_WAIT_MS = 5000;
const WRITE_BACK_POLL_MS = 250;

const timeText = (milliseconds: number): string => milliseconds === 0 ? 'an unknown time' : new Date(milliseconds).toISOString();

const overwrittenLine = ({key, change}: Overwritten): string =>
  `${key}: changed by ${change.author} at ${timeText(change.at)} in sequence ${change.sequence}`;

const conflictOf = (overwritten: readonly Overwritten[], sequence: number): CommandFault => commandFault(
  'conflict',
  `${overwritten.length} object(s) were changed by others; read them with \`jujubewell get --output json\`, repeat your edit on that state and apply it with \`--base-sequence ${sequence}\``,
  overwritten.map(item => overwrittenLine(item)),
);

const olderThanInForce = (platform: number, inForce: number): CommandFault => commandFault(
  'conflict',
  `the platform holds sequence ${platform} but sequence ${inForce} is in force, as after a restore from a backup; wait until a watcher has written it back, or replace it with \`--overwrite\``,
);

/** Reads the head, and waits while a restored platform holds an older configuration than the one in force. */
const readCurrentHead = async (client: PlatformClient, request: ChangeRequest, waitMs: number): Promise<Result<Head, CommandFault>> => {
  const head = await readHead(client);
  const inForce = request.inForceSequence ?? 0;
  if (head.kind === 'error' || request.overwrite || head.value.configuration.sequence >= inForce) {
    return head;
  }

  if (waitMs <= 0) {
    return fail(olderThanInForce(head.value.configuration.sequence, inForce));
  }

  await sleep(WRITE_BACK_POLL_MS);
  return readCurrentHead(client, request, waitMs - WRITE_BACK_POLL_MS);
};

const nextConfiguration = (head: Head, plan: Plan, request: ChangeRequest): Configuration => {
  const sequence = Math.max(head.configuration.sequence, request.inForceSequence ?? 0) + 1;
  const at = Date.now();
  const {author} = request;
  return {
    sequence,
    hash: hashObjects(plan.objects),
    acceptedAt: at,
    author,
    writeId: randomUUID(),
    objects: plan.objects,
    changes: addChanges(head.configuration, plan.differences.map(({key}) => key), {sequence, author, at}),
  };
};

const writeConfiguration = async (client: PlatformClient, head: Head, configuration: Configuration) => writeSettled(client, {
  kind: CONFIGURATION_KIND, name: CONFIGURATION_NAME, value: encodeConfiguration(configuration), expectedVersion: head.version,
});

const openOutcome = (message: string): CommandFault => commandFault(
  'unreachable',
  `${message}. The change may or may not have been accepted; repeat the command, which is harmless when it has been`,
);

const tryChange = async (client: PlatformClient, request: ChangeRequest, tries: number, firstSequence?: number): Promise<Result<ChangeOutcome, CommandFault>> => {
  const head = await readCurrentHead(client, request, WRITE_BACK_WAIT_MS);
  if (head.kind === 'error') {
    return head;
  }

  const {configuration} = head.value;
  const plan = planEdit(configuration, request.edit);
  const validation = checkObjects(plan.objects);
  if (validation.objects === undefined) {
    return fail(commandFault('invalid', 'the configuration would be invalid', validation.diagnostics.map(diagnostic => formatDiagnostic(diagnostic))));
  }

  const claim: Claim = {...request, firstSequence: firstSequence ?? configuration.sequence};
  const overwritten = findOverwritten(configuration, plan, claim);
  if (overwritten.length > 0) {
    return fail(conflictOf(overwritten, configuration.sequence));
  }

  const {differences} = plan;
  const warnings = validation.diagnostics.map(diagnostic => formatDiagnostic(diagnostic));
  if (differences.length === 0 || request.dryRun) {
    return ok({
      sequence: configuration.sequence, written: false, differences, warnings,
    });
  }

  const next = nextConfiguration(head.value, plan, request);
  const written = await writeConfiguration(client, head.value, next);
  if (written.kind === 'ok') {
    return ok({
      sequence: next.sequence, written: true, differences, warnings,
    });
  }

  const fault = fromPlatform(written.error);
  if (fault.kind === 'conflict' && tries > 1) {
    return tryChange(client, request, tries - 1, claim.firstSequence);
  }

  return fail(fault.kind === 'unreachable' ? openOutcome(fault.message) : fault);
};

/**
Applies an edit to the configuration on the platform.

A concurrent change of other objects is merged and the write repeated; one of the same objects is a conflict. A lost
response is settled by reading the write id back.
*/
export const changeConfiguration = async (client: PlatformClient, request: ChangeRequest): Promise<Result<ChangeOutcome, CommandFault>> =>
  tryChange(client, request, WRITE_TRIES);
