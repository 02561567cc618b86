import {fileURLToPath} from 'node:url';
import {loadSettings} from '@sapphireglade/runtime';
import type {Deployment} from './deployment-schema.js';
import {deploymentSchema} from './deployment-schema.js';

/** Loads a deployment from a JSON file. */
export function loadDeployment(path: string): Deployment {
  return loadSettings(path, deploymentSchema);
}

/**
 * Loads one of the deployments under `examples/`.
 *
 * @param name - Name of the folder.
 */
export function loadExampleDeployment(name: string): Deployment {
  const path = `../../../../../../examples/${name}/deployment.json`;
  return loadDeployment(fileURLToPath(new URL(path, import.meta.url)));
}
