/** When a changed setting takes effect. */
export const SettingEffect = {
  /** At once, without cutting what is under way. */
  WhileRunning: 'while running',
  AtNextStart: 'next start',
} as const;

/** One of the times. */
export type SettingEffect = (typeof SettingEffect)[keyof typeof SettingEffect];

/**
 * When each setting takes effect, by its path.
 *
 * Name, places and addresses of this proxy are known to callers, the balancer and
 * other proxies; connections would have to be cut to change them.
 */
export const SETTING_EFFECTS: Readonly<Record<string, SettingEffect>> = {
  name: SettingEffect.AtNextStart,
  availabilityZone: SettingEffect.AtNextStart,
  regions: SettingEffect.AtNextStart,
  'listen.callers': SettingEffect.AtNextStart,
  'listen.readiness': SettingEffect.AtNextStart,
  'listen.peers': SettingEffect.AtNextStart,
  'listen.metrics': SettingEffect.AtNextStart,
  'capacity.processorShare': SettingEffect.WhileRunning,
  'capacity.processorCores': SettingEffect.WhileRunning,
  'capacity.linkMbps': SettingEffect.WhileRunning,
  'capacity.memoryMb': SettingEffect.WhileRunning,
  'store.address': SettingEffect.WhileRunning,
  'promotion.address': SettingEffect.WhileRunning,
  configurationWithinMs: SettingEffect.WhileRunning,
  maximumCallers: SettingEffect.WhileRunning,
  stopGraceS: SettingEffect.WhileRunning,
  logLevel: SettingEffect.WhileRunning,
};
