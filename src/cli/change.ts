/** Changes the configuration on the platform without overwriting the changes of others. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  addChanges, CONFIGURATION_KIND, CONFIGURATION_NAME, encodeConfiguration, hashObjects, type Configuration,
} from '../objects/configuration.js';
import {formatDiagnostic} from '../objects/diagnostic.js';
import {checkObjects} from '../objects/validation.js';
import type {PlatformClient} from '../platform/client.js';
import {writeWithRetries} from '../platform/write-outcome.js';
import {fail, ok, type Result} from '../shared/result.js';
import {commandError, fromPlatformError, type CommandError} from './error.js';
import {readConfiguration, type StoredConfiguration} from './stored-configuration.js';
import {
  findOverwrittenChanges, planEdit, type WritePreconditions, type Difference, type Edit, type OverwrittenChange, type EditPlan,
} from './edit-plan.js';

/** Change that an operator requests. */
export type ChangeRequest = {
  edit: Edit;
  author: string;
  /** Sequence of the configuration that was edited, if the operator stated it. */
  baseSequence: number | undefined;
  /** Whether changes of others that are already on the platform may be replaced. */
  overwrite: boolean;
  /** Whether the change is only checked and not written. */
  dryRun: boolean;
  /** Highest sequence that a process has in force; undefined when none was asked or reachable. */
  inForceSequence: number | undefined;
};

/** Result of a change. */
export type ChangeOutcome = {
  /** Sequence of the configuration on the platform after the command. */
  sequence: number;
  written: boolean;
  differences: Difference[];
  /** Warnings about the objects; they do not prevent the change. */
  warnings: string[];
};

// Others write unrelated changes at most every few seconds, so eight conflicts in a row only occur under heavy automation.
const WRITE_ATTEMPTS_MAX = 8;

// After the platform was restored from a backup, a watcher writes the newer configuration back within seconds.
const WRITE_BACK_WAIT_MS = 5000;
const WRITE_BACK_POLL_MS = 250;

const formatChangeTime = (milliseconds: number): string => milliseconds === 0 ? 'an unknown time' : new Date(milliseconds).toISOString();

const formatOverwrittenChange = ({key, change}: OverwrittenChange): string =>
  `${key}: changed by ${change.author} at ${formatChangeTime(change.at)} in sequence ${change.sequence}`;

const conflictError = (overwritten: readonly OverwrittenChange[], sequence: number): CommandError => commandError(
  'conflict',
  `${overwritten.length} object(s) were changed by others; read them with \`jujubewell get --output json\`, repeat your edit on that state and apply it with \`--base-sequence ${sequence}\``,
  overwritten.map(item => formatOverwrittenChange(item)),
);

const outdatedPlatformError = (platform: number, inForce: number): CommandError => commandError(
  'conflict',
  `the platform holds sequence ${platform} but sequence ${inForce} is in force, as after a restore from a backup; wait until a watcher has written it back, or replace it with \`--overwrite\``,
);

/** Reads the configuration, and waits while a restored platform holds an older one than the one in force. */
const readCurrentConfiguration = async (client: PlatformClient, request: ChangeRequest, waitMs: number): Promise<Result<StoredConfiguration, CommandError>> => {
  const stored = await readConfiguration(client);
  const inForce = request.inForceSequence ?? 0;
  if (stored.kind === 'error' || request.overwrite || stored.value.configuration.sequence >= inForce) {
    return stored;
  }

  if (waitMs <= 0) {
    return fail(outdatedPlatformError(stored.value.configuration.sequence, inForce));
  }

  await sleep(WRITE_BACK_POLL_MS);
  return readCurrentConfiguration(client, request, waitMs - WRITE_BACK_POLL_MS);
};

const nextConfiguration = (stored: StoredConfiguration, plan: EditPlan, request: ChangeRequest): Configuration => {
  const sequence = Math.max(stored.configuration.sequence, request.inForceSequence ?? 0) + 1;
  const at = Date.now();
  const {author} = request;
  return {
    sequence,
    hash: hashObjects(plan.objects),
    acceptedAt: at,
    author,
    writeId: randomUUID(),
    objects: plan.objects,
    changes: addChanges(stored.configuration, plan.differences.map(({key}) => key), {sequence, author, at}),
  };
};

const writeConfiguration = async (client: PlatformClient, stored: StoredConfiguration, configuration: Configuration) => writeWithRetries(client, {
  kind: CONFIGURATION_KIND, name: CONFIGURATION_NAME, value: encodeConfiguration(configuration), expectedVersion: stored.version,
});

const unknownOutcomeError = (message: string): CommandError => commandError(
  'unreachable',
  `${message}. The change may or may not have been accepted; repeat the command, which is harmless when it has been`,
);

const attemptChange = async (client: PlatformClient, request: ChangeRequest, attemptsLeft: number, firstSequence?: number): Promise<Result<ChangeOutcome, CommandError>> => {
  const stored = await readCurrentConfiguration(client, request, WRITE_BACK_WAIT_MS);
  if (stored.kind === 'error') {
    return stored;
  }

  const {configuration} = stored.value;
  const plan = planEdit(configuration, request.edit);
  const validation = checkObjects(plan.objects);
  if (validation.objects === undefined) {
    return fail(commandError('invalid', 'the configuration would be invalid', validation.diagnostics.map(diagnostic => formatDiagnostic(diagnostic))));
  }

  const preconditions: WritePreconditions = {...request, firstSequence: firstSequence ?? configuration.sequence};
  const overwritten = findOverwrittenChanges(configuration, plan, preconditions);
  if (overwritten.length > 0) {
    return fail(conflictError(overwritten, configuration.sequence));
  }

  const {differences} = plan;
  const warnings = validation.diagnostics.map(diagnostic => formatDiagnostic(diagnostic));
  if (differences.length === 0 || request.dryRun) {
    return ok({
      sequence: configuration.sequence, written: false, differences, warnings,
    });
  }

  const next = nextConfiguration(stored.value, plan, request);
  const written = await writeConfiguration(client, stored.value, next);
  if (written.kind === 'ok') {
    return ok({
      sequence: next.sequence, written: true, differences, warnings,
    });
  }

  const error = fromPlatformError(written.error);
  if (error.kind === 'conflict' && attemptsLeft > 1) {
    return attemptChange(client, request, attemptsLeft - 1, preconditions.firstSequence);
  }

  return fail(error.kind === 'unreachable' ? unknownOutcomeError(error.message) : error);
};

/**
Applies an edit to the configuration on the platform.

A concurrent change of other objects is merged and the write repeated; one of the same objects is a conflict. After a lost
response, the write id on the platform shows whether the write was accepted.
*/
export const changeConfiguration = async (client: PlatformClient, request: ChangeRequest): Promise<Result<ChangeOutcome, CommandError>> =>
  attemptChange(client, request, WRITE_ATTEMPTS_MAX);
