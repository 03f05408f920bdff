/** Reads the configuration from the platform. */
import {
  CONFIGURATION_KIND, CONFIGURATION_NAME, decodeConfiguration, emptyConfiguration, type Configuration,
} from '../objects/configuration.js';
import type {PlatformClient} from '../platform/client.js';
import {fail, ok, type Result} from '../shared/result.js';
import {commandError, fromPlatformError, type CommandError} from './error.js';

/** Configuration on the platform and the version of its object; the version is undefined when there is none yet. */
export type StoredConfiguration = {version: number | undefined; configuration: Configuration};

const READ_ATTEMPTS = 3;

/** Reads the configuration; a read without a response is repeated. */
export const readConfiguration = async (client: PlatformClient, attempts = READ_ATTEMPTS): Promise<Result<StoredConfiguration, CommandError>> => {
  const read = await client.read(CONFIGURATION_KIND, CONFIGURATION_NAME);
  if (read.kind === 'error') {
    if (read.error.kind === 'not-found') {
      return ok({version: undefined, configuration: emptyConfiguration});
    }

    const error = fromPlatformError(read.error);
    return error.kind === 'unreachable' && attempts > 1 ? readConfiguration(client, attempts - 1) : fail(error);
  }

  const decoded = decodeConfiguration(read.value.value);
  return decoded.kind === 'ok'
    ? ok({version: read.value.version, configuration: decoded.value})
    : fail(commandError('failed', decoded.error.message));
};
