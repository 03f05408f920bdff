/** Errors of commands and the exit codes that report them. */
import type {PlatformError} from '../platform/client.js';

/** Exit codes of the command line. docs/cli.md lists them. */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  invalid: 2,
  conflict: 3,
  unreachable: 4,
} as const;

/** Reason why a command failed. */
export type CommandError = {
  kind: Exclude<keyof typeof EXIT_CODES, 'ok'>;
  message: string;
  /** Further lines, such as the errors of objects or the changes of others. */
  details: readonly string[];
};

/** Creates a command error. */
export const commandError = (kind: CommandError['kind'], message: string, details: readonly string[] = []): CommandError => ({kind, message, details});

/** Converts an error of the platform client to a command error. */
export const fromPlatformError = (error: PlatformError): CommandError => {
  switch (error.kind) {
    case 'unreachable':
    case 'timed-out': {
      return commandError('unreachable', error.message);
    }

    case 'conflict': {
      return commandError('conflict', error.message);
    }

    case 'too-large': {
      return commandError('invalid', `${error.message}; declare fewer or shorter objects`);
    }

    case 'not-found':
    case 'rejected': {
      return commandError('failed', error.message);
    }
  }
};
