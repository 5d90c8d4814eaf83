package org.skylarkstack.configurationcheck;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.skylarkstack.gateway.RoutingTable;

/**
 * Compares a configuration with the one in force. Entries with the same name are versions
 * of one entry; routes without a name are identified by host and prefix.
 */
public final class ConfigurationChanges {

	private ConfigurationChanges() {
	}

	/**
	 * Compares two configurations.
	 * @param inForce the configuration in force
	 * @param table the new configuration
	 * @return the differences, and an error if the version is not higher
	 */
	public static List<Finding> findings(RoutingTable inForce, RoutingTable table) {
		List<Finding> findings = new ArrayList<>();
		FieldValue version = new FieldValue(TableField.VERSION, TableField.VERSION.change(inForce, table));
		Place whole = Place.of(Section.CONFIGURATION);
		findings.add((table.version() > inForce.version()) ? Finding.change("changed", whole, version)
				: Finding.error("version-not-higher", whole, null, version));
		findings.addAll(entries(byPlace(inForce.routes(), Place::of), byPlace(table.routes(), Place::of),
				List.of(RouteField.values())));
		findings.addAll(entries(byPlace(inForce.configuredServices(), Place::of),
				byPlace(table.configuredServices(), Place::of), List.of(ServiceField.values())));
		findings.addAll(entries(byPlace(inForce.teams(), Place::of), byPlace(table.teams(), Place::of),
				List.of(TeamField.values())));
		findings
			.addAll(fields(Place.of(Section.LIMITS), inForce.limits(), table.limits(), List.of(LimitField.values())));
		return findings;
	}

	// Entries whose name occurs twice are reported by the check; the first one counts
	// here.
	private static <T> Map<Place, T> byPlace(List<T> entries, PlaceFunction<T> place) {
		Map<Place, T> byPlace = new LinkedHashMap<>();
		for (int index = 0; index < entries.size(); index++) {
			byPlace.putIfAbsent(place.of(index, entries.get(index)).withoutIndex(), entries.get(index));
		}
		return byPlace;
	}

	private static <T> List<Finding> entries(Map<Place, T> inForce, Map<Place, T> current,
			List<? extends Field<T>> fields) {
		List<Finding> findings = new ArrayList<>();
		inForce.forEach((place, entry) -> {
			if (!current.containsKey(place)) {
				findings.add(Finding.change("removed", place));
			}
		});
		current.forEach((place, entry) -> {
			T old = inForce.get(place);
			if (old == null) {
				findings.add(Finding.change("added", place));
			}
			else {
				findings.addAll(fields(place, old, entry, fields));
			}
		});
		return findings;
	}

	private static <T> List<Finding> fields(Place place, T old, T current, List<? extends Field<T>> fields) {
		return fields.stream()
			.filter((field) -> field.differs(old, current))
			.map((field) -> Finding.change("changed", place, new FieldValue(field, field.change(old, current))))
			.toList();
	}

	/**
	 * Names the place of an entry.
	 *
	 * @param <T> the type of the entry
	 */
	private interface PlaceFunction<T> {

		Place of(int index, T entry);

	}

}
