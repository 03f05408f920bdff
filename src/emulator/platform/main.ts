/** Program that runs the platform emulator. Argument: its options as a JSON object, optional. */
import process from 'node:process';
import {z} from 'zod';
import {createPlatformEmulator} from './emulator.js';

const settingsSchema = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().min(0).max(65_535).default(0),
  latencyMs: z.number().min(0).default(2),
  bookmarkMs: z.number().min(1).default(1000),
  historyLimit: z.number().int().min(1).default(10_000),
});

const parseSettings = (text: string) => {
  try {
    return settingsSchema.safeParse(JSON.parse(text));
  } catch {
    return settingsSchema.safeParse(undefined);
  }
};

const run = async (settings: z.infer<typeof settingsSchema>): Promise<void> => {
  const emulator = createPlatformEmulator(settings);
  process.once('SIGTERM', emulator.stop);
  process.once('SIGINT', emulator.stop);
  const address = await emulator.start();
  process.stdout.write(`${JSON.stringify({address})}\n`);
};

const settings = parseSettings(process.argv[2] ?? '{}');
if (settings.success) {
  await run(settings.data);
} else {
  process.stderr.write(`invalid settings: ${z.prettifyError(settings.error)}\ngive one JSON argument, for example '{"port": 7100}'\n`);
  process.exitCode = 2;
}
