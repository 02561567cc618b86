/** When a changed setting takes effect. */
export const SettingEffect = {
  /** Immediately, without interrupting requests. */
  WhileRunning: 'while running',
  AtNextStart: 'next start',
} as const;

/** The time at which a changed setting takes effect. */
export type SettingEffect = (typeof SettingEffect)[keyof typeof SettingEffect];

/**
 * When each setting takes effect, by its path.
 *
 * The name, the zone, the regions and the addresses of this proxy are used by
 * callers, the balancer and other proxies. Changing them would require closing
 * connections.
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
  leaveWithinMs: SettingEffect.WhileRunning,
  instanceReturnWithinMs: SettingEffect.WhileRunning,
  maximumCallers: SettingEffect.WhileRunning,
  stopGraceS: SettingEffect.WhileRunning,
  logLevel: SettingEffect.WhileRunning,
};
