package host

import "slices"

// RegionAllowed reports whether a list of allowed regions has the region. An
// empty list allows all.
func RegionAllowed(allowed []Region, r Region) bool {
	return len(allowed) == 0 || slices.Contains(allowed, r)
}

// CommonRegions returns the regions that all of the lists allow, in the order of
// the first list that names any. Empty lists allow all regions; if all lists do,
// the result is empty. It returns false if the lists exclude each other, so that
// no region is left.
func CommonRegions(lists ...[]Region) ([]Region, bool) {
	var common []Region
	for _, list := range lists {
		if len(list) == 0 {
			continue
		}
		if common == nil {
			common = slices.Clone(list)
			continue
		}
		common = slices.DeleteFunc(common, func(r Region) bool { return !slices.Contains(list, r) })
		if len(common) == 0 {
			return nil, false
		}
	}
	return common, true
}
