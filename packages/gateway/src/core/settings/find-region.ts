/**
 * Returns the region of an availability zone.
 *
 * @param regions - Region of each availability zone.
 * @param zone - The availability zone, which instances name as they like.
 * @returns The region; the zone itself if its region is not known.
 */
export function findRegion(
  regions: Readonly<Record<string, string>>,
  zone: string,
): string {
  // Ignores inherited properties, such as that of a zone named "constructor".
  return Object.hasOwn(regions, zone) ? (regions[zone] ?? zone) : zone;
}
