const config = {
  files: ['{src,platform}/**/__tests__/**/*.spec.ts', '!platform/__tests__/untrusted-clients/**'],
  extensions: {ts: 'module'},
  nodeArguments: ['--import=tsx'],
  workerThreads: false,
  concurrency: 4,
  timeout: '60s',
};

export default config;
