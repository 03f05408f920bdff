/** Faults of commands and the exit codes that report them. */
import type {PlatformFault} from '../platform/client.js';

/** Exit codes of the command line. docs/cli.md lists them. */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  invalid: 2,
  conflict: 3,
  unreachable: 4,
} as const;

/** Why a command did not succeed. */
export type CommandFault = {
  kind: Exclude<keyof typeof EXIT_CODES, 'ok'>;
  message: string;
  /** Further lines, such as the faults of objects or the changes of others. */
  details: readonly string[];
};

/** Creates a fault. */
export const commandFault = (kind: CommandFault['kind'], message: string, details: readonly string[] = []): CommandFault => ({kind, message, details});

/** Turns a fault of the platform into one of a command. */
export const fromPlatform = (fault: PlatformFault): CommandFault => {
  switch (fault.kind) {
    case 'unreachable':
    case 'timed-out': {
      return commandFault('unreachable', fault.message);
    }

    case 'conflict': {
      return commandFault('conflict', fault.message);
    }

    case 'too-large': {
      return commandFault('invalid', `${fault.message}; declare fewer or shorter objects`);
    }

    case 'not-found':
    case 'rejected': {
      return commandFault('failed', fault.message);
    }
  }
};
