#!/usr/bin/env node
/** Entry point of the `jujubewell` command line. */
import process from 'node:process';
import {runCli} from './cli.js';

process.exitCode = await runCli(process.argv.slice(2));
