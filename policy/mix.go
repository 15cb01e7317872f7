package policy

// mixDecay lets a request count less for shares with each later one: about the last 500 count.
const mixDecay = 0.998

// quotaTolerance is how many times its quota a tenant may send before it counts as over it.
const quotaTolerance = 1.1

// trafficMix is what share of this agent's requests each class and tenant has, fading with age.
type trafficMix struct {
	tenantShares []float64
	classShares  []float64
	classOnTime  []float64 // shares of those answered in time
	worstClass   int       // the class with the smallest part answered in time
	meanValue    float64   // of a request
}

func newTrafficMix(settings *Settings) trafficMix {
	mix := trafficMix{tenantShares: make([]float64, len(settings.Tenants))}
	for range settings.Classes {
		mix.classShares = append(mix.classShares, 1)
		mix.classOnTime = append(mix.classOnTime, 1)
	}
	return mix
}

// countClass counts a request of a class.
func (m *trafficMix) countClass(classes []Class, class int) {
	m.meanValue = 0
	for i := range classes {
		m.classShares[i] *= mixDecay
		m.classOnTime[i] *= mixDecay
		if i == class {
			m.classShares[i] += 1 - mixDecay
		}
		m.meanValue += m.classShares[i] * classes[i].Value
	}
}

// countTenant counts a request of a tenant.
func (m *trafficMix) countTenant(tenant int) {
	if tenant < 0 || tenant >= len(m.tenantShares) {
		return
	}
	for i := range m.tenantShares {
		m.tenantShares[i] *= mixDecay
	}
	m.tenantShares[tenant] += 1 - mixDecay
}

// countOnTime counts an answer in time for its class.
func (m *trafficMix) countOnTime(class int) { m.classOnTime[class] += 1 - mixDecay }

// updateWorstClass finds the class with the smallest part answered in time.
func (m *trafficMix) updateWorstClass() {
	for i := range m.classOnTime {
		if m.classOnTime[i]*m.classShares[m.worstClass] < m.classOnTime[m.worstClass]*m.classShares[i] {
			m.worstClass = i
		}
	}
}

// overQuota reports whether a tenant sends more than its share of all requests.
func (m *trafficMix) overQuota(tenants []Tenant, tenant int) bool {
	if tenant < 0 || tenant >= len(m.tenantShares) {
		return false
	}
	return m.tenantShares[tenant] > quotaTolerance*tenants[tenant].QuotaShare
}
