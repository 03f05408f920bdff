/** Tests that load whole processes; they run after all others and one by one. */
const config = {
  files: ['platform/__tests__/untrusted-clients/*.spec.ts'],
  extensions: {ts: 'module'},
  nodeArguments: ['--import=tsx'],
  workerThreads: false,
  concurrency: 1,
  serial: true,
  timeout: '180s',
};

export default config;
